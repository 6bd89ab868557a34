// Tests from which control host an entry host receives its view.
#include "fleet/source_choice.hpp"

#include <catch2/catch.hpp>
#include <set>

namespace guavashed
{
namespace
{

instant const start = instant() + std::chrono::hours(1);

source_candidate candidate(std::string const& name, int round_trip_ms)
{
    source_candidate out;
    out.control = endpoint_text(name);
    out.is_open = true;
    out.is_heard = true;
    out.round_trip = milliseconds(round_trip_ms);
    return out;
}

/// Control hosts tried one after the other by an entry host that never receives a view.
std::vector<endpoint_text> tried_without_view(std::vector<source_candidate> candidates, int rounds)
{
    std::vector<endpoint_text> out;
    current_source source;
    instant now = start;
    for (int round = 0; round < rounds; ++round, now += initial_view_timeout)
    {
        auto const next = choose_source(candidates, source, now);
        if (!next)
            continue;
        source.control = next->control;
        source.until = now + initial_view_timeout;
        for (auto& item : candidates)
            if (item.control == next->control)
                item.chosen_at = now;
        out.push_back(next->control);
    }
    return out;
}

} // namespace

// Guards against review case 7: an entry host that started went back and forth between the two
// nearest control hosts, which were outside of the group, and never came to one that had a view.
TEST_CASE("an entry host without a view finds a control host that delivers one")
{
    std::vector<source_candidate> candidates{candidate("near:1", 1), candidate("middle:1", 5),
                                             candidate("far:1", 60)};

    SECTION("it begins with the nearest one")
    {
        CHECK(tried_without_view(candidates, 1) ==
              std::vector<endpoint_text>{endpoint_text("near:1")});
    }
    SECTION("it tries all of them in turn while none delivers a view")
    {
        auto const tried = tried_without_view(candidates, 6);
        REQUIRE(tried.size() == 6);
        CHECK(std::set<endpoint_text>(tried.begin(), tried.begin() + 3).size() == 3);
        CHECK(std::set<endpoint_text>(tried.begin() + 3, tried.end()).size() == 3);
    }
    SECTION("it takes the one that follows a leader, though others are nearer")
    {
        candidates[0].has_leader = candidates[1].has_leader = false;
        CHECK(tried_without_view(candidates, 1) ==
              std::vector<endpoint_text>{endpoint_text("far:1")});
    }
    SECTION("it stays with the nearest one while all of them say that they have no leader")
    {
        for (auto& item : candidates)
            item.has_leader = false;
        CHECK(tried_without_view(candidates, 4) ==
              std::vector<endpoint_text>{endpoint_text("near:1")});
    }
    SECTION("a source that says that it has no leader is left before its time is over")
    {
        current_source const source{endpoint_text("near:1"), false, start + initial_view_timeout};
        CHECK_FALSE(choose_source(candidates, source, start));
        candidates[0].has_leader = false;
        auto const next = choose_source(candidates, source, start);
        REQUIRE(next);
        CHECK(next->control == endpoint_text("middle:1"));
        CHECK(next->reason == "no_leader");
    }
}

// A change has to arrive within the time of a drain, for which a source that works must not be
// replaced without need, and one that has stopped working has to be replaced at once.
TEST_CASE("an entry host with a view keeps a source that delivers, and leaves one that doesn't")
{
    std::vector<source_candidate> candidates{candidate("near:1", 1), candidate("middle:1", 5),
                                             candidate("far:1", 60)};
    current_source source{endpoint_text("middle:1"), true, start};

    SECTION("a much nearer one takes its place once it has been kept long enough")
    {
        source.until = start + milliseconds(1);
        CHECK_FALSE(choose_source(candidates, source, start));
        auto const next = choose_source(candidates, source, source.until);
        REQUIRE(next);
        CHECK(next->control == endpoint_text("near:1"));
    }
    SECTION("one that is hardly nearer does not")
    {
        candidates[0].round_trip = milliseconds(4);
        CHECK_FALSE(choose_source(candidates, source, start));
    }
    SECTION("a silent source is replaced at once")
    {
        source.until = start + std::chrono::seconds(10);
        candidates[1].is_heard = false;
        auto const next = choose_source(candidates, source, start);
        REQUIRE(next);
        CHECK(next->control == endpoint_text("near:1"));
        CHECK(next->reason == "silent");
    }
    SECTION("a source that was left out of the group is replaced at once, by one that is in it")
    {
        source.until = start + std::chrono::seconds(10);
        candidates[0].has_leader = candidates[1].has_leader = false;
        auto const next = choose_source(candidates, source, start);
        REQUIRE(next);
        CHECK(next->control == endpoint_text("far:1"));
    }
    // Guards against hundreds of entry hosts that take their views from a new leader's region, as
    // the leader is the first one to know.
    SECTION("a source that has not heard of a new leader yet is kept for a while")
    {
        source.until = start + std::chrono::seconds(10);
        candidates[0].has_leader = candidates[1].has_leader = false;
        candidates[2].preferred_from = start + leader_known_within;
        CHECK_FALSE(choose_source(candidates, source, start));
        CHECK_FALSE(choose_source(candidates, source, start + milliseconds(400)));

        AND_WHEN("it hears of the leader meanwhile")
        {
            candidates[1].has_leader = true;
            THEN("it stays the source")
            {
                CHECK_FALSE(choose_source(candidates, source, candidates[2].preferred_from));
            }
        }
        AND_WHEN("it doesn't")
        {
            auto const next = choose_source(candidates, source, candidates[2].preferred_from);
            THEN("it is replaced")
            {
                REQUIRE(next);
                CHECK(next->control == endpoint_text("far:1"));
            }
        }
    }
    SECTION("nothing changes while nobody follows a leader")
    {
        source.until = start + std::chrono::seconds(10);
        for (auto& item : candidates)
            item.has_leader = false;
        CHECK_FALSE(choose_source(candidates, source, start));
    }
    SECTION("nothing changes while nobody is heard")
    {
        for (auto& item : candidates)
            item.is_heard = false;
        CHECK_FALSE(choose_source(candidates, source, start));
    }
}

} // namespace guavashed
