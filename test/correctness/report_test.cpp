// Tests of the burn report, of dividing caps between hosts, and of moving traffic between regions.
#include "control/shift_controller.hpp"
#include "entry/share_meter.hpp"
#include "reports/burn_report.hpp"
#include "support.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace guavashed;

namespace
{

configuration one_kind()
{
    configuration out;
    service_config roster;
    roster.name = service_name("roster");
    roster.kinds = {{work_kind_name("check"), rank::normal, true, 100, permille(990)}};
    out.services = {roster};
    return out;
}

burn_event event(outcome_kind outcome, std::int64_t ms, burn_cause cause = burn_cause::none)
{
    return {service_name("roster"), work_kind_name("check"), outcome, cause, milliseconds(ms), 100};
}

} // namespace

// Guards against a report that omits a host or a minute without saying so, or that averages
// quantiles of hosts.
SCENARIO("burn is summed over hosts and windows")
{
    wall_instant const now{std::chrono::hours(1000)};
    burn_ledger first;
    burn_ledger second;
    for (int i = 0; i < 98; ++i)
        first.add(now, event(outcome_kind::answer, 10));
    first.add(now, event(outcome_kind::answer, 150));
    second.add(now, event(outcome_kind::not_run, 1, burn_cause::queueing));
    second.add(now - std::chrono::minutes(30), event(outcome_kind::answer, 10));
    auto const summary =
        summarize_burn(one_kind(),
                       {{host_name("e0"), region_name("north"), first.rows_since(0)},
                        {host_name("e1"), region_name("north"), second.rows_since(0)}},
                       {host_name("e2")}, minute_of(now));
    REQUIRE(summary.lines.size() == 4);
    burn_line const& five_minutes = summary.lines[0];
    CHECK(five_minutes.counts.total == 100);
    CHECK(five_minutes.counts.good == 98);
    CHECK(five_minutes.burn == Approx(2.0));
    CHECK(five_minutes.counts.spent[static_cast<std::size_t>(burn_cause::queueing)] == 1);
    CHECK(five_minutes.counts.spent[static_cast<std::size_t>(burn_cause::upstream)] == 1);
    CHECK(five_minutes.p50_ms == 10);
    CHECK(summary.lines[1].counts.total == 101);
    THEN("the report names the host that did not answer")
    {
        CHECK(print_burn_text(summary).find("missing: host e2") != std::string::npos);
        CHECK(print_burn_json(summary).find("\"missing\":[\"e2\"]") != std::string::npos);
        CHECK(print_burn_html(summary).find("Host e2 did not answer") != std::string::npos);
    }
    THEN("restored rows have the same counts as before the restart")
    {
        burn_ledger restored;
        restored.restore(first.rows_since(0));
        CHECK(restored.rows_since(0)[0].counts == first.rows_since(0)[0].counts);
    }
}

// Guards against hosts that together exceed a cap, or leave a part of it unused, because of
// rounding or of shares that do not expire.
SCENARIO("shares of a cap add up to the cap")
{
    rc::prop("for any cap and number of hosts",
             [](std::uint16_t cap, std::uint8_t more)
             {
                 std::uint32_t const hosts = 1U + more;
                 std::uint32_t sum = 0;
                 for (std::uint32_t i = 0; i < hosts + 3; ++i)
                     sum += divide_cap(slot_count(cap), hosts, i).value();
                 RC_ASSERT(sum == cap);
             });
    GIVEN("a share of a link")
    {
        byte_share link;
        link.rate(bytes_per_second(1'000'000));
        std::uint64_t sent = 0;
        for (int ms = 0; ms < 1000; ++ms)
            while (link.acquire(at_ms(ms), 1000))
                sent += 1000;
        THEN("it allows at most its rate plus one burst in a second")
        {
            CHECK(sent <= 1'100'000);
            CHECK(sent >= 950'000);
        }
    }
    GIVEN("slots lent until a deadline")
    {
        slot_share share;
        share.base(slot_count(2));
        share.lend(slot_count(3), at_ms(100));
        CHECK(share.limit(at_ms(99)) == slot_count(5));
        CHECK(share.limit(at_ms(100)) == slot_count(2));
    }
}

// Guards against moving traffic to a region faster than its caches warm up, and against moving it
// without measurements of the receiving region.
SCENARIO("a traffic shift moves in steps and stops if the receiver degrades")
{
    shift_controller controller;
    shift_config shift{region_name("a"), region_name("b"), permille(200),
                       permille(0),      permille(50),     permille(1300)};
    region_load load{slot_count(100), slot_count(20), milliseconds(40)};
    auto const decide = [&](std::int64_t s)
    { return controller.decide(at_ms(s * 1000), shift, load); };
    GIVEN("a healthy receiving region")
    {
        std::int64_t s = 0;
        for (std::uint32_t expected : {50U, 100U, 150U, 200U})
        {
            auto const decision = decide(s);
            REQUIRE(decision);
            CHECK(decision->current == permille(expected));
            CHECK_FALSE(decide(s + 1));
            shift.current = decision->current;
            s += 3;
        }
        CHECK_FALSE(decide(s));
    }
    GIVEN("a receiving region whose caches are cold")
    {
        shift.current = decide(0)->current;
        load.mean_service = milliseconds(80);
        CHECK_FALSE(decide(3));
        CHECK_FALSE(decide(6));
        THEN("the shift goes back one step if the slowdown lasts")
        {
            auto const decision = decide(9);
            REQUIRE(decision);
            CHECK(decision->current == permille(0));
        }
        THEN("the shift continues when the receiving region has recovered")
        {
            load.mean_service = milliseconds(41);
            CHECK(decide(12)->current == permille(100));
        }
    }
    GIVEN("no measurement of the receiving region")
    {
        CHECK_FALSE(controller.decide(at_ms(0), shift, std::nullopt));
    }
}
