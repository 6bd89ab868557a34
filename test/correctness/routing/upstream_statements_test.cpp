// Tests of what upstreams say of themselves in their answers: that they leave, and that they want
// no requests for a while.
#include "routing/upstream_statements.hpp"
#include "routing_support.hpp"

#include <catch2/catch.hpp>

using namespace guavashed;

namespace
{

/// A pick of `board` for an object, reported with what its upstream says.
pick answer(upstream_selector& board, std::string const& object, std::int64_t now_ms,
            attempt_report const& outcome)
{
    static route_config const route = roster_route();
    pick_refusal refusal;
    auto const chosen = board.choose(
        {route, route.parts[0].service, object, {}, at_ms(now_ms + 1000)}, at_ms(now_ms), refusal);
    REQUIRE(chosen);
    board.report(*chosen, route.name, outcome, at_ms(now_ms + 10));
    return *chosen;
}

attempt_report leaving(attempt_result result = attempt_result::answered)
{
    attempt_report out;
    out.result = result;
    out.took_ms = 10;
    out.is_leaving = true;
    return out;
}

attempt_report pause(std::uint32_t ms)
{
    attempt_report out;
    out.result = attempt_result::shed;
    out.pause_ms = ms;
    return out;
}

fleet_changes change(upstream_row row, std::uint64_t to, bool gone = false)
{
    fleet_changes out;
    out.from = to - 1;
    out.to = to;
    out.upstreams.push_back({std::move(row), 0, gone});
    return out;
}

} // namespace

// Guards against requests to an upstream that has said in an answer that it leaves, while the
// registry still calls it ready, or the host doesn't reach the registry at all.
SCENARIO("an upstream that says in an answer that it leaves gets no further request")
{
    upstream_selector board = board_of(whole_view(2));
    attempt_result const result = GENERATE(attempt_result::answered, attempt_result::failed,
                                           attempt_result::shed, attempt_result::abandoned);
    pick const home = answer(board, "block 7", 0, leaving(result));
    std::string const other = home.id.value() == "u0" ? "u1" : "u0";
    upstream_row same = roster_upstream(home.id.value());
    CHECK(board.leaving_stated() == 1);

    THEN("its objects go to the next upstream")
    {
        CHECK(pick_for(board, "block 7", 20) == other);
        CHECK(pick_for(board, "block 7", 600000) == other);
    }
    THEN("a view that calls it ready changes nothing")
    {
        board.apply(change(same, 2), at_ms(20));
        CHECK(pick_for(board, "block 7", 30) == other);
        board.apply(whole_view(2), at_ms(40));
        CHECK(pick_for(board, "block 7", 50) == other);
    }
    THEN("a removal from the view and a return of the same incarnation change nothing")
    {
        board.apply(change(same, 2, true), at_ms(20));
        board.apply(change(same, 3), at_ms(9000));
        CHECK(pick_for(board, "block 7", 9010) == other);
    }
    THEN("a later incarnation under its id gets requests")
    {
        same.born_ms += 5000;
        board.apply(change(same, 2), at_ms(20));
        CHECK(pick_for(board, "block 7", 30) == home.id.value());
        AND_THEN("an answer of the earlier one, which comes late, doesn't hold it back")
        {
            board.report(home, "checks", leaving(result), at_ms(40));
            CHECK(pick_for(board, "block 7", 50) == home.id.value());
            CHECK(pick_for(board, "block 7", 120000) == home.id.value());
        }
    }
    THEN("a later incarnation gets none if it had been born when the statement was made")
    {
        attempt_report outcome = leaving(result);
        outcome.answered_ms = same.born_ms + 5000 + GENERATE(0, 700);
        board.report(home, "checks", outcome, at_ms(20));
        same.born_ms += 5000;
        board.apply(change(same, 2), at_ms(30));
        CHECK(pick_for(board, "block 7", 40) == other);
        AND_THEN("the one after that gets requests")
        {
            same.born_ms += 5000;
            board.apply(change(same, 3), at_ms(50));
            CHECK(pick_for(board, "block 7", 60) == home.id.value());
        }
    }
    THEN("requests are refused at once when all upstreams leave")
    {
        answer(board, "block 7", 20, leaving(result));
        CHECK(pick_for(board, "block 7", 40).empty());
    }
}

// Guards against requests to an upstream that has turned one away and asked for a pause, also where
// it is the only one left.
SCENARIO("an upstream that asks for a pause gets no requests until it ends")
{
    upstream_selector board = board_of(whole_view(1));
    answer(board, "block 7", 0, pause(800));
    CHECK(board.pauses_stated() == 1);

    THEN("requests are refused meanwhile, with the end of the pause as the prediction")
    {
        route_config const route = roster_route();
        pick_refusal refusal;
        CHECK_FALSE(board.choose({route, route.parts[0].service, "block 7", {}, at_ms(1000)},
                                 at_ms(100), refusal));
        CHECK(refusal.why == pick_failure::none_usable);
        CHECK(refusal.expected_ms >= 700);
        CHECK(refusal.expected_ms <= 800);
        CHECK(pick_for(board, "block 7", 805).empty());
    }
    THEN("it gets one request at a time after it, until it answers one")
    {
        CHECK(pick_for(board, "block 7", 900) == "u0");
        CHECK(pick_for(board, "block 8", 900).empty());
        attempt_report served;
        served.took_ms = 50;
        pick out;
        out.id = upstream_name("u0");
        out.born_ms = roster_upstream("u0").born_ms;
        board.report(out, "checks", served, at_ms(950));
        CHECK(pick_for(board, "block 7", 960) == "u0");
        CHECK(pick_for(board, "block 8", 960) == "u0");
    }
    THEN("a shorter pause that it asks for in a later answer doesn't end this one")
    {
        pick out;
        out.id = upstream_name("u0");
        out.born_ms = roster_upstream("u0").born_ms;
        board.report(out, "checks", pause(100), at_ms(20));
        CHECK(pick_for(board, "block 7", 700).empty());
    }
    THEN("a removal from the view and a return of the same incarnation don't end it")
    {
        board.apply(change(roster_upstream("u0"), 2, true), at_ms(20));
        board.apply(change(roster_upstream("u0"), 3), at_ms(30));
        CHECK(pick_for(board, "block 7", 700).empty());
    }
}

SCENARIO("the end of a pause")
{
    CHECK(pause_end(at_ms(0), milliseconds(1000), 0) == at_ms(1000));
    THEN("hosts come back one after the other")
    {
        CHECK(pause_end(at_ms(0), milliseconds(1000), 0.99) > at_ms(1050));
        CHECK(pause_end(at_ms(0), milliseconds(1000), 0.99) <= at_ms(1100));
    }
    THEN("a pause of hours is shortened")
    {
        CHECK(pause_end(at_ms(0), std::chrono::hours(5), 0) <= at_ms(5 * 60 * 1000));
    }
}

SCENARIO("statements are bounded in number and time")
{
    upstream_statements statements;
    upstream_name const first("u0");
    statements.note_leaving(first, 1000, at_ms(0));
    REQUIRE(statements.find(first, 1000).is_leaving);
    CHECK_FALSE(statements.find(first, 2000).is_leaving);
    GIVEN("a removal of the upstream")
    {
        statements.note_removed(first, 1000, at_ms(100));
        statements.trim(at_ms(30 * 1000));
        CHECK(statements.size() == 1);
        statements.trim(at_ms(120 * 1000));
        CHECK(statements.size() == 0);
    }
    GIVEN("a later incarnation")
    {
        statements.note_registered(first, 2000);
        CHECK(statements.size() == 0);
    }
    GIVEN("a removal of an earlier incarnation")
    {
        statements.note_removed(first, 500, at_ms(100));
        statements.trim(at_ms(120 * 1000));
        CHECK(statements.find(first, 1000).is_leaving);
    }
    GIVEN("many upstreams that leave, many of them at once")
    {
        for (int i = 1; i < 10000; ++i)
            statements.note_leaving(upstream_name("u" + std::to_string(i)), 1000, at_ms(i / 5000));
        CHECK(statements.size() <= 4096);
        CHECK(statements.find(upstream_name("u9999"), 1000).is_leaving);
    }
}
