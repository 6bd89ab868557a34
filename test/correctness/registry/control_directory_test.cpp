// Tests what control hosts tell entry hosts of each other, and which of them entry hosts connect
// to.
#include "fleet/control_directory.hpp"
#include "fleet/control_selection.hpp"

#include <catch2/catch.hpp>

namespace guavashed
{
namespace
{

instant const start = instant() + std::chrono::hours(1);

endpoint_text control(int i)
{
    return endpoint_text("10.0.0." + std::to_string(100 + i) + ":7720");
}

host_name host(int i)
{
    return host_name(control(i).value());
}

raft_membership members(std::vector<int> const& hosts)
{
    raft_membership out;
    for (int const i : hosts)
        out.members.push_back({host(i), disk_id(static_cast<std::uint64_t>(i)), true});
    return out;
}

std::map<host_name, known_control> heard(std::vector<int> const& hosts, instant at)
{
    std::map<host_name, known_control> out;
    for (int const i : hosts)
        out[host(i)].received_at = at;
    return out;
}

std::vector<endpoint_text> controls(std::vector<int> const& hosts)
{
    std::vector<endpoint_text> out;
    for (int const i : hosts)
        out.push_back(control(i));
    return out;
}

std::set<endpoint_text> control_set(std::vector<int> const& hosts)
{
    auto const list = controls(hosts);
    return {list.begin(), list.end()};
}

} // namespace

// Guards against review case 7: a control host outside of the group named no other one, so that
// entry hosts that knew only such hosts never received a view.
TEST_CASE("a control host tells entry hosts of the control hosts that it has heard")
{
    control_directory directory;

    SECTION("one without a leader names those that it has heard, and no members")
    {
        // Its log still holds the members of the time when it was one of them.
        directory.update(start, false, members({0, 1, 2}), heard({1, 5, 6}, start));
        CHECK(directory.epoch() == 1);
        CHECK_FALSE(directory.status().has_leader);
        CHECK(directory.status().members.empty());
        CHECK(directory.status().others == controls({1, 5, 6}));

        AND_WHEN("it hears another one")
        {
            directory.update(start, false, members({0, 1, 2}), heard({1, 5, 6, 7}, start));
            THEN("there is something to tell")
            {
                CHECK(directory.epoch() == 2);
            }
        }
        AND_WHEN("nothing changes")
        {
            directory.update(start + std::chrono::seconds(9), false, members({0, 1, 2}),
                             heard({1, 5, 6}, start + std::chrono::seconds(9)));
            THEN("there is nothing to tell")
            {
                CHECK(directory.epoch() == 1);
            }
        }
    }
    SECTION("one with a leader names the members first, also those that it hasn't heard")
    {
        directory.update(start, true, members({0, 1, 2}), heard({1, 5}, start));
        CHECK(directory.status().has_leader);
        CHECK(directory.status().members == controls({0, 1, 2}));
        CHECK(directory.status().others == controls({5}));
    }
    SECTION("one that has no log yet follows no leader, as it can't say who is gone")
    {
        directory.update(start, true, members({}), heard({1, 5}, start));
        CHECK_FALSE(directory.status().has_leader);
        CHECK(directory.status().others == controls({1, 5}));
    }
    SECTION("an election changes nothing, and a leader that is lost for longer does")
    {
        directory.update(start, true, members({0, 1, 2}), heard({1, 2}, start));
        directory.update(start + milliseconds(100), false, members({0, 1, 2}),
                         heard({1, 2}, start));
        directory.update(start + milliseconds(1500), false, members({0, 1, 2}),
                         heard({1, 2}, start));
        CHECK(directory.epoch() == 1);

        AND_WHEN("there is a leader again")
        {
            directory.update(start + milliseconds(1600), true, members({0, 1, 2}),
                             heard({1, 2}, start));
            directory.update(start + milliseconds(3500), false, members({0, 1, 2}),
                             heard({1, 2}, start));
            THEN("the time counts anew from its next loss")
            {
                CHECK(directory.epoch() == 1);
            }
        }
        AND_WHEN("there is none for longer than elections take")
        {
            directory.update(start + milliseconds(2200), false, members({0, 1, 2}),
                             heard({1, 2}, start));
            THEN("it says so")
            {
                CHECK(directory.epoch() == 2);
                CHECK_FALSE(directory.status().has_leader);
            }
        }
    }
}

// Guards against review cases 7 and 8: entry hosts kept to the control hosts that they knew at
// first, of which none was in the group any more.
TEST_CASE("an entry host connects to the control hosts that others tell it of")
{
    auto const seeds = controls({0, 1, 2});

    SECTION("it begins with its seeds")
    {
        CHECK(select_controls(seeds, {}, {}) == control_set({0, 1, 2}));
    }
    SECTION("seeds outside of the group lead it to the members")
    {
        control_statuses open;
        open[control(0)] = control_status{false, {}, controls({6, 7})};
        auto const first = select_controls(seeds, seeds, open);
        CHECK(first == control_set({0, 1, 2, 6, 7}));

        open[control(6)] = control_status{true, controls({5, 6, 7, 8, 9}), controls({0})};
        CHECK(select_controls(seeds, controls({0, 1, 2, 6, 7}), open) ==
              control_set({0, 1, 2, 5, 6, 7, 8, 9}));
    }
    SECTION("it drops a host only if one that follows a leader no longer knows it")
    {
        auto const current = controls({0, 1, 2, 3, 4});
        control_statuses open;
        open[control(1)] = std::nullopt;
        CHECK(select_controls(seeds, current, open) == control_set({0, 1, 2, 3, 4}));
        open[control(1)] = control_status{false, {}, controls({2})};
        CHECK(select_controls(seeds, current, open) == control_set({0, 1, 2, 3, 4}));
        open[control(1)] = control_status{true, controls({1, 2, 3}), {}};
        CHECK(select_controls(seeds, current, open) == control_set({0, 1, 2, 3}));
    }
    SECTION("without any session it keeps those that it knows: its seeds may be gone for good")
    {
        CHECK(select_controls(seeds, controls({0, 1, 2, 5, 6}), {}) ==
              control_set({0, 1, 2, 5, 6}));
    }
    SECTION("many hosts without a place in the group don't keep it from the members")
    {
        control_statuses open;
        std::vector<int> others;
        for (int i = 10; i < 40; ++i)
        {
            others.push_back(i);
            open[control(i)] = control_status{false, {}, controls({1, 2, 3})};
        }
        open[control(10)] = control_status{true, controls({50, 51, 52, 53, 54}), {}};
        auto const out = select_controls(seeds, controls(others), open);
        CHECK(out.size() == max_controls);
        for (auto const& member : controls({50, 51, 52, 53, 54}))
            CHECK(out.contains(member));
    }
}

// Hundreds of entry hosts learn of a new control host at the same moment; it would have to accept
// all of their sessions at once.
TEST_CASE("entry hosts that are served connect to a new control host one after the other")
{
    constexpr int entries = 200;
    constexpr milliseconds window{100};
    std::map<std::int64_t, int> opened;
    for (int i = 0; i < entries; ++i)
    {
        std::minstd_rand random(static_cast<unsigned>(i * 7919 + 1));
        instant const at = connect_time(start, true, random);
        CHECK(at >= start);
        CHECK(at <= start + milliseconds(2000));
        ++opened[(at - start) / window];
    }
    // An even spread opens 10 in each window.
    for (auto const& [at, count] : opened)
        CHECK(count <= 30);

    SECTION("one that nobody serves does not wait")
    {
        std::minstd_rand random(1);
        CHECK(connect_time(start, false, random) == start);
    }
}

} // namespace guavashed
