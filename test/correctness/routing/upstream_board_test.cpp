#include "routing/upstream_board.hpp"
#include "routing_support.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace guavashed;

namespace
{

pick pick_of(std::string const& id)
{
    pick out;
    out.id = upstream_name(id);
    out.address = endpoint_text("127.0.0.1:9");
    out.place = 0;
    return out;
}

void report(upstream_board& board, std::string const& id, attempt_result result,
            std::int64_t now_ms, double took_ms = 100)
{
    attempt_report outcome;
    outcome.result = result;
    outcome.took_ms = took_ms;
    board.report(pick_of(id), "checks", outcome, at_ms(now_ms));
}

fleet_changes change_of(upstream_row row, std::uint32_t cold_left_ms, std::uint64_t to)
{
    fleet_changes out;
    out.from = to - 1;
    out.to = to;
    out.upstreams.push_back({std::move(row), cold_left_ms, false});
    return out;
}

} // namespace

TEST_CASE("requests for an object stay together")
{
    upstream_board board = board_of(whole_view(8));
    upstream_board other = board_of(whole_view(8), "e1");
    for (int i = 0; i < 50; ++i)
    {
        std::string const object = std::to_string(i);
        std::string const home = pick_for(board, object, i * 200);
        report(board, home, attempt_result::answered, i * 200 + 100);
        CHECK(pick_for(other, object, i * 200) == home);
        report(other, home, attempt_result::answered, i * 200 + 100);
    }
}

TEST_CASE("under load an object uses its own two upstreams and no third")
{
    upstream_board board = board_of(whole_view(8));
    std::set<std::string> used;
    int refused = 0;
    for (int i = 0; i < 100; ++i)
    {
        std::string const id = pick_for(board, "block 7", 0);
        if (id.empty())
            ++refused;
        else
            used.insert(id);
    }
    CHECK(used.size() == 2);
    CHECK(refused > 0);
}

TEST_CASE("an upstream that must not get work gets none")
{
    fleet_changes view = whole_view(2);
    upstream_board board = board_of(view);
    std::string const home = pick_for(board, "block 7", 0);
    report(board, home, attempt_result::answered, 10);
    std::string const other = home == "u0" ? "u1" : "u0";

    SECTION("it is draining")
    {
        upstream_row row = roster_upstream(home);
        row.draining = true;
        board.apply(change_of(row, 0, 2), at_ms(20));
        CHECK(pick_for(board, "block 7", 30) == other);
    }
    SECTION("it is gone")
    {
        fleet_changes gone = change_of(roster_upstream(home), 0, 2);
        gone.upstreams[0].gone = true;
        board.apply(gone, at_ms(20));
        CHECK(pick_for(board, "block 7", 30) == other);
    }
    SECTION("its failure domain is evacuated")
    {
        fleet_changes evacuated;
        evacuated.from = 1;
        evacuated.to = 2;
        evacuated.evacuated.push_back(failure_domain_name("north-a"));
        board.apply(evacuated, at_ms(20));
        CHECK(pick_for(board, "block 7", 30).empty());
    }
    SECTION("another one answers at its address")
    {
        report(board, home, attempt_result::misdirected, 20);
        CHECK(pick_for(board, "block 7", 30) == other);
        CHECK(pick_for(board, "block 7", 60000) == other);
    }
    SECTION("no connection came about")
    {
        report(board, home, attempt_result::unreachable, 20);
        CHECK(pick_for(board, "block 7", 30) == other);
    }
    SECTION("it was tried for this request")
    {
        CHECK(pick_for(board, "block 7", 30, {upstream_name(home)}) == other);
    }
    SECTION("the route's regions leave it out")
    {
        route_config route = roster_route();
        route.regions.push_back(region_name("south"));
        no_pick why_not{};
        CHECK_FALSE(board.choose({route, route.parts[0].service, "block 7", {}, at_ms(1000)},
                                 at_ms(30), why_not));
        CHECK(why_not == no_pick::none_usable);
    }
}

TEST_CASE("a request is refused for the queue at its upstreams, not for their own time")
{
    upstream_board board = board_of(whole_view(2));
    // Objects that no upstream knows yet take over twice the objective of 400 ms.
    for (int i = 0; i < 60; ++i)
    {
        std::string const id = pick_for(board, "block 7", i * 1000);
        REQUIRE_FALSE(id.empty());
        report(board, id, attempt_result::answered, i * 1000 + 900, 900);
    }
    SECTION("idle upstreams get requests, and so learn their objects")
    {
        CHECK_FALSE(pick_for(board, "block 7", 61000).empty());
    }
    SECTION("busy ones do not")
    {
        std::string last;
        for (int i = 0; i < 20; ++i)
            last = pick_for(board, "block 7", 61000);
        CHECK(last.empty());
    }
}

TEST_CASE("a late departure does not remove an upstream's next life")
{
    upstream_board board = board_of(whole_view(1));
    upstream_row new_incarnation = roster_upstream("u0");
    new_incarnation.born_ms = 2000;
    board.apply(change_of(new_incarnation, 0, 2), at_ms(10));
    fleet_changes gone = change_of(roster_upstream("u0"), 0, 3);
    gone.upstreams[0].gone = true;
    board.apply(gone, at_ms(20));
    CHECK(pick_for(board, "block 7", 30) == "u0");
}

TEST_CASE("a cold upstream gets no more than it bears from all hosts together")
{
    // The service bears 6 requests a second while cold; the users' bound is 1.5 times that and 5.
    constexpr double bound = 6.0 * 1.5 + 5;
    std::size_t const hosts = GENERATE(1, 3, 12, 18, 60);
    fleet_changes view = whole_view(1, hosts);
    view.upstreams[0].cold_left_ms = 5000;
    std::vector<upstream_board> boards;
    for (std::size_t i = 0; i < hosts; ++i)
        boards.push_back(board_of(view, "e" + std::to_string(i)));
    std::vector<std::int64_t> sent;
    for (std::int64_t now = 0; now < 4000; now += 10)
        for (auto& board : boards)
            if (std::string const id = pick_for(board, std::to_string(now), now); !id.empty())
            {
                sent.push_back(now);
                report(board, id, attempt_result::answered, now);
            }
    CHECK(sent.size() > 4);
    for (std::int64_t const from : sent)
    {
        auto const within =
            std::count_if(sent.begin(), sent.end(),
                          [from](std::int64_t at) { return at >= from && at < from + 1000; });
        CHECK(within <= bound);
    }
}

TEST_CASE("an upstream that breaks off again and again is left alone for a while")
{
    upstream_board board = board_of(whole_view(2));
    std::string const home = pick_for(board, "block 7", 0);
    std::string const other = home == "u0" ? "u1" : "u0";
    for (int i = 0; i < 3; ++i)
        report(board, home, attempt_result::failed, 10 + i);
    CHECK(pick_for(board, "block 7", 20) == other);

    SECTION("but not when all others are gone too")
    {
        for (int i = 0; i < 3; ++i)
            report(board, other, attempt_result::failed, 30 + i);
        CHECK_FALSE(pick_for(board, "block 7", 40).empty());
    }
}

TEST_CASE("requests that fail together count as one failure")
{
    upstream_board board = board_of(whole_view(2));
    std::string const home = pick_for(board, "block 7", 0);
    // All of them were under way when the upstream became unreachable.
    for (int i = 0; i < 6; ++i)
        report(board, home, attempt_result::unreachable, 10 + i);
    // Not before it bears a cold upstream's rate again, and not as late as after six failures.
    CHECK(pick_for(board, "block 7", 400) != home);
    CHECK(pick_for(board, "block 7", 1200) == home);
}
