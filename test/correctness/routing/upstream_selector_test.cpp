// Tests of picking upstreams: affinity, eligibility, late answers, slow start and ejection.
#include "routing/upstream_selector.hpp"
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
    out.born_ms = roster_upstream(id).born_ms;
    out.address = endpoint_text("127.0.0.1:9");
    out.place = 0;
    return out;
}

void report(upstream_selector& board, std::string const& id, attempt_result result,
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

// Guards against entry hosts that place the same object on different upstreams, so that each of
// them has to load it.
TEST_CASE("all entry hosts send requests for an object to the same upstream")
{
    upstream_selector board = board_of(whole_view(8));
    upstream_selector other = board_of(whole_view(8), "e1");
    for (int i = 0; i < 50; ++i)
    {
        std::string const object = std::to_string(i);
        std::string const home = pick_for(board, object, i * 200);
        report(board, home, attempt_result::answered, i * 200 + 100);
        CHECK(pick_for(other, object, i * 200) == home);
        report(other, home, attempt_result::answered, i * 200 + 100);
    }
}

// Guards against spreading an object over all upstreams under load: an upstream that does not have
// it cached takes several times as long, which reduces capacity when it is needed most.
TEST_CASE("under load an object uses its first two upstreams and no others")
{
    upstream_selector board = board_of(whole_view(8));
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

// Guards against sending requests to an upstream that cannot or must not serve them.
TEST_CASE("an ineligible upstream gets no requests")
{
    fleet_changes view = whole_view(2);
    upstream_selector board = board_of(view);
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
    SECTION("it was removed from the view")
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
    SECTION("a different upstream answers at its address")
    {
        report(board, home, attempt_result::misdirected, 20);
        CHECK(pick_for(board, "block 7", 30) == other);
        CHECK(pick_for(board, "block 7", 60000) == other);
    }
    SECTION("no connection to it could be established")
    {
        report(board, home, attempt_result::unreachable, 20);
        CHECK(pick_for(board, "block 7", 30) == other);
    }
    SECTION("an earlier attempt of the request was sent to it")
    {
        CHECK(pick_for(board, "block 7", 30, {upstream_name(home)}) == other);
    }
    SECTION("its region is not among the regions of the route")
    {
        route_config route = roster_route();
        route.regions.push_back(region_name("south"));
        pick_refusal refusal;
        CHECK_FALSE(board.choose({route, route.parts[0].service, "block 7", {}, at_ms(1000)},
                                 at_ms(30), refusal));
        CHECK(refusal.why == pick_failure::none_usable);
    }
}

// Guards against refusing every request of an object whose upstreams are slow because they do not
// have it cached: without requests they would never load it.
TEST_CASE("a request is refused for queueing at its upstreams, not for their service time")
{
    upstream_selector board = board_of(whole_view(2));
    // Objects that no upstream has cached take more than twice the objective of 400 ms.
    for (int i = 0; i < 60; ++i)
    {
        std::string const id = pick_for(board, "block 7", i * 1000);
        REQUIRE_FALSE(id.empty());
        report(board, id, attempt_result::answered, i * 1000 + 900, 900);
    }
    SECTION("idle upstreams get requests, so that they load the object")
    {
        CHECK_FALSE(pick_for(board, "block 7", 61000).empty());
    }
    SECTION("busy upstreams get no more requests")
    {
        std::string last;
        for (int i = 0; i < 20; ++i)
            last = pick_for(board, "block 7", 61000);
        CHECK(last.empty());
    }
}

// Guards against losing an upstream that restarted quickly: the removal of its former incarnation
// arrives after the announcement of the new one.
TEST_CASE("the removal of an old incarnation does not remove the new one")
{
    upstream_selector board = board_of(whole_view(1));
    upstream_row new_incarnation = roster_upstream("u0");
    new_incarnation.born_ms = 2000;
    board.apply(change_of(new_incarnation, 0, 2), at_ms(10));
    fleet_changes gone = change_of(roster_upstream("u0"), 0, 3);
    gone.upstreams[0].gone = true;
    board.apply(gone, at_ms(20));
    CHECK(pick_for(board, "block 7", 30) == "u0");
}

// Guards against overloading a cold upstream: each host keeps to its own rate, but the sum over all
// hosts exceeds what the upstream can serve.
TEST_CASE("all hosts together keep to the warm-up rate of a cold upstream")
{
    // A cold upstream serves 6 requests per second; the required bound is 1.5 times that plus 5.
    constexpr double bound = 6.0 * 1.5 + 5;
    std::size_t const hosts = GENERATE(1, 3, 12, 18, 60);
    fleet_changes view = whole_view(1, hosts);
    view.upstreams[0].cold_left_ms = 5000;
    std::vector<upstream_selector> boards;
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

// Guards against sending requests again and again to an upstream that accepts connections and then
// fails, and against ejecting the last upstreams that are left.
TEST_CASE("an upstream is ejected after consecutive failures")
{
    upstream_selector board = board_of(whole_view(2));
    std::string const home = pick_for(board, "block 7", 0);
    std::string const other = home == "u0" ? "u1" : "u0";
    for (int i = 0; i < 3; ++i)
        report(board, home, attempt_result::failed, 10 + i);
    CHECK(pick_for(board, "block 7", 20) == other);

    SECTION("ejected upstreams are used if no others are left")
    {
        for (int i = 0; i < 3; ++i)
            report(board, other, attempt_result::failed, 30 + i);
        CHECK_FALSE(pick_for(board, "block 7", 40).empty());
    }
}

// Guards against the longest ejection after one short outage: all requests in flight fail together
// and each of them would double the ejection time.
TEST_CASE("requests in flight that fail together count as one failure")
{
    upstream_selector board = board_of(whole_view(2));
    std::string const home = pick_for(board, "block 7", 0);
    // All of them were in flight when the upstream became unreachable.
    for (int i = 0; i < 6; ++i)
        report(board, home, attempt_result::unreachable, 10 + i);
    // Not during the ejection; afterwards at the rate of a cold upstream, and earlier than after
    // six separate failures.
    CHECK(pick_for(board, "block 7", 400) != home);
    CHECK(pick_for(board, "block 7", 1200) == home);
}

// Guards against taking the noise of a shared host for a sick upstream, and against sending work
// to a host that is slow at the moment.
SCENARIO("upstreams that report the pace of their host")
{
    upstream_selector board = board_of(whole_view(8));
    std::string const home = pick_for(board, "block 7", 0);
    auto const report_pace = [&](double pace, std::int64_t now_ms, double took_ms)
    {
        attempt_report outcome;
        outcome.took_ms = took_ms;
        outcome.load = upstream_load{1, 0, 4, pace};
        board.report(pick_of(home), "checks", outcome, at_ms(now_ms));
    };
    GIVEN("a home whose host takes five times as long at the moment")
    {
        report_pace(5, 100, 800);
        THEN("the object's second upstream gets the next request")
        {
            CHECK(pick_for(board, "block 7", 101) != home);
        }
        THEN("the home gets requests again when the report is old")
        {
            CHECK(pick_for(board, "block 7", 1500) == home);
        }
    }
    GIVEN("answers that are slow by the host's pace alone")
    {
        std::int64_t now = 100;
        for (int i = 0; i < 30; ++i, now += 20)
            report_pace(4, now, 640);
        report_pace(1, now, 160);
        THEN("the upstream itself is not taken to be slow")
        {
            CHECK(pick_for(board, "block 7", now + 1) == home);
        }
    }
}

// Guards against an object whose home lies in a region that may not serve it: it would have no home
// at all, and run on a different upstream each time.
TEST_CASE("objects of a restricted request have their homes in the allowed regions")
{
    fleet_changes view = whole_view(4);
    for (int i = 0; i < 8; ++i)
        view.upstreams.push_back({roster_upstream("s" + std::to_string(i), "south-a"), 0, false});
    upstream_selector board = board_of(view);
    route_config route = roster_route();
    std::vector<region_name> allowed{region_name(GENERATE("north", "south"))};
    SECTION("by the route")
    {
        route.regions = allowed;
    }
    SECTION("by the request, in place of the regions of the route")
    {
        route.regions = {region_name("elsewhere")};
    }
    std::set<upstream_name> const none;
    for (int i = 0; i < 40; ++i)
    {
        pick_refusal refusal;
        auto const chosen = board.choose({route, route.parts[0].service, std::to_string(i), none,
                                          at_ms(i * 200 + 1000), instant::max(),
                                          route.regions == allowed ? nullptr : &allowed},
                                         at_ms(i * 200), refusal);
        REQUIRE(chosen);
        CHECK(chosen->place == 0);
        CHECK(chosen->id.value()[0] == (allowed[0] == region_name("north") ? 'u' : 's'));
        report(board, chosen->id.value(), attempt_result::answered, i * 200 + 100);
    }
}
