// Tests of an object's home while upstreams are ineligible for a short time, and when regions
// change.
#include "routing/upstream_selector.hpp"
#include "routing_support.hpp"

#include <catch2/catch.hpp>

using namespace guavashed;

namespace
{

std::optional<pick> pick_at(upstream_selector& board, std::string const& object,
                            std::int64_t now_ms, std::set<upstream_name> const& tried = {})
{
    static route_config const route = roster_route();
    pick_refusal refusal;
    return board.choose({route, route.parts[0].service, object, tried, at_ms(now_ms + 1000)},
                        at_ms(now_ms), refusal);
}

/// Picks an upstream and reports an answer at once.
pick answered(upstream_selector& board, std::string const& object, std::int64_t now_ms,
              std::set<upstream_name> const& tried = {})
{
    auto const chosen = pick_at(board, object, now_ms, tried);
    REQUIRE(chosen);
    attempt_report outcome;
    outcome.took_ms = 100;
    board.report(*chosen, "checks", outcome, at_ms(now_ms));
    return *chosen;
}

void fail(upstream_selector& board, pick const& chosen, std::int64_t now_ms)
{
    attempt_report outcome;
    outcome.result = attempt_result::failed;
    for (int i = 0; i < 3; ++i)
        board.report(chosen, "checks", outcome, at_ms(now_ms));
}

fleet_changes evacuation(std::vector<failure_domain_name> domains, std::uint64_t to)
{
    fleet_changes out;
    out.from = to - 1;
    out.to = to;
    out.evacuated = std::move(domains);
    return out;
}

/// Eight upstreams in each of two regions.
fleet_changes two_region_view()
{
    fleet_changes view = whole_view(8);
    for (int i = 0; i < 8; ++i)
        view.upstreams.push_back({roster_upstream("s" + std::to_string(i), "south-a"), 0, false});
    return view;
}

/// Number of 200 objects that are sent to another region at `now_ms`.
int sent_away(upstream_selector& board, std::int64_t now_ms)
{
    int count = 0;
    for (int i = 0; i < 200; ++i)
        count += answered(board, std::to_string(i), now_ms).other_region;
    return count;
}

} // namespace

// Guards against objects that get a new home, and then another second choice, for each short pause
// of an upstream: each of them then loads them, and the time that this takes counts as the time of
// objects at their home.
SCENARIO("an object keeps its home while the home is ineligible")
{
    upstream_selector board = board_of(whole_view(8));
    pick const home = answered(board, "block 7", 0);
    pick const second = answered(board, "block 7", 10, {home.id});
    REQUIRE(home.place == 0);

    GIVEN("a request that was sent to the home before")
    {
        THEN("its second choice is not taken for the home")
        {
            CHECK(second.place == 1);
        }
        THEN("the next choices follow in the same order on each host")
        {
            upstream_selector other = board_of(whole_view(8), "e1");
            pick const third = answered(board, "block 7", 20, {home.id, second.id});
            CHECK(third.place == 2);
            CHECK(answered(other, "block 7", 20, {home.id, second.id}).id == third.id);
        }
    }
    GIVEN("an ejected home")
    {
        fail(board, home, 20);
        THEN("all requests use the second choice until the ejection ends")
        {
            for (std::int64_t now = 30; now < 500; now += 50)
            {
                pick const chosen = answered(board, "block 7", now);
                CHECK(chosen.id == second.id);
                CHECK(chosen.place == 1);
            }
            pick const later = answered(board, "block 7", 30000);
            CHECK(later.id == home.id);
            CHECK(later.place == 0);
        }
        THEN("an ejected second choice is replaced by the third")
        {
            pick const third = answered(board, "block 7", 20, {home.id, second.id});
            fail(board, second, 25);
            pick const chosen = answered(board, "block 7", 30);
            CHECK(chosen.id == third.id);
            CHECK(chosen.place == 2);
        }
    }
    GIVEN("a second choice that is ejected")
    {
        fail(board, second, 20);
        THEN("no other upstream takes its place")
        {
            for (int i = 0; i < 40; ++i)
                if (auto const chosen = pick_at(board, "block 7", 30))
                    CHECK(chosen->id == home.id);
        }
    }
    GIVEN("a paused home")
    {
        attempt_report refused;
        refused.result = attempt_result::shed;
        refused.pause_ms = 1000;
        board.report(home, "checks", refused, at_ms(20));
        THEN("the second choice is used")
        {
            CHECK(answered(board, "block 7", 30).id == second.id);
            CHECK(answered(board, "block 7", 30).place == 1);
        }
    }
    GIVEN("a home that restarts")
    {
        fleet_changes restart;
        restart.from = 1;
        restart.to = 2;
        upstream_row row = roster_upstream(home.id.value());
        row.born_ms = 2000;
        restart.upstreams.push_back({row, 5000, false});
        board.apply(restart, at_ms(1020));
        THEN("it is the home at once, at the rate of a cold upstream")
        {
            pick const first = answered(board, "block 7", 1030);
            CHECK(first.id == home.id);
            CHECK(first.place == 0);
            CHECK(answered(board, "block 7", 1040).id == second.id);
            CHECK(answered(board, "block 7", 1040).place == 1);
        }
    }
    GIVEN("a home that leaves for good")
    {
        fleet_changes draining;
        draining.from = 1;
        draining.to = 2;
        upstream_row row = roster_upstream(home.id.value());
        row.draining = true;
        draining.upstreams.push_back({row, 0, false});
        board.apply(draining, at_ms(20));
        THEN("the second choice is the new home")
        {
            CHECK(answered(board, "block 7", 30).id == second.id);
            CHECK(answered(board, "block 7", 30).place == 0);
        }
    }
}

// Guards against placing objects anew by an evacuation and once more by its end, and against moving
// them back all at the same time.
SCENARIO("objects return after an evacuation")
{
    upstream_selector board = board_of(two_region_view());
    std::vector<upstream_name> homes;
    for (int i = 0; i < 200; ++i)
        homes.push_back(answered(board, std::to_string(i), 0).id);
    REQUIRE(sent_away(board, 10) == 0);

    GIVEN("the evacuation of this region")
    {
        board.apply(evacuation({failure_domain_name("north-a")}, 2), at_ms(60000));
        THEN("all objects are sent away at once, since no upstream is left here")
        {
            CHECK(sent_away(board, 60000) == 200);
        }
        WHEN("it ends")
        {
            CHECK(sent_away(board, 80000) == 200);
            board.apply(evacuation({}, 3), at_ms(90000));
            THEN("objects return at a limited rate")
            {
                // 0.12 in two seconds, and what 200 objects vary.
                CHECK(sent_away(board, 90000) == 200);
                CHECK(sent_away(board, 92000) > 200 * (1 - 0.15));
                CHECK(sent_away(board, 92000) < 200);
            }
            THEN("each of them to where it was")
            {
                CHECK(sent_away(board, 120000) == 0);
                for (int i = 0; i < 200; ++i)
                    CHECK(answered(board, std::to_string(i), 120000).id == homes[std::size_t(i)]);
            }
        }
    }
    GIVEN("upstreams that fail and are removed")
    {
        fleet_changes gone;
        gone.from = 1;
        gone.to = 2;
        for (int i = 0; i < 4; ++i)
            gone.upstreams.push_back({roster_upstream("u" + std::to_string(i)), 0, true});
        board.apply(gone, at_ms(60000));
        THEN("the others keep their objects or give them to another region at once")
        {
            // Four of twelve upstreams serve half of the requests: a third of them go away.
            CHECK(sent_away(board, 60000) == Approx(67).margin(25));
            int moved = 0;
            for (std::size_t i = 0; i < 200; ++i)
            {
                pick const chosen = answered(board, std::to_string(i), 60001);
                bool const was_removed = homes[i].value() < "u4";
                moved += !was_removed && !chosen.other_region && chosen.id != homes[i];
            }
            CHECK(moved == 0);
        }
    }
    GIVEN("upstreams that are drained")
    {
        fleet_changes draining;
        draining.from = 1;
        draining.to = 2;
        for (int i = 0; i < 4; ++i)
        {
            upstream_row row = roster_upstream("u" + std::to_string(i));
            row.draining = true;
            draining.upstreams.push_back({row, 0, false});
        }
        board.apply(draining, at_ms(60000));
        THEN("objects are sent to another region at a limited rate")
        {
            CHECK(sent_away(board, 60000) == 0);
            CHECK(sent_away(board, 62000) < 200 * 0.2);
            CHECK(sent_away(board, 70000) == Approx(67).margin(25));
        }
    }
}
