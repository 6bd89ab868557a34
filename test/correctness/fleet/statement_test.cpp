// Tests of what upstreams say of themselves in their answers, with the platform daemon as real
// processes: that they leave, and that they want no requests for a while.
#include "fleet_options.hpp"
#include "platform_caller.hpp"
#include "platform_invariants.hpp"
#include "statement_checks.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace fleet_test;
using guavashed::instant;
using guavashed::milliseconds;

namespace
{

platform_fleet_options options_of(std::string const& name, unsigned base_port)
{
    platform_fleet_options options = fleet_options("statement-" + name, base_port);
    options.entries = 1;
    return options;
}

constexpr unsigned calls_per_s = 100;

void pause_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// Ends the load and checks the invariants and the statements.
invariant_report finish(platform_fleet& fleet, standin::platform_caller& caller,
                        disturbances const& excuses = {})
{
    caller.finish();
    auto report = check_invariants(caller.calls(), fleet.records());
    for (auto const& line : check_statements(caller.calls(), fleet.records(), excuses))
        report.violations.push_back(line);
    for (auto const& violation : report.violations)
        UNSCOPED_INFO(violation);
    UNSCOPED_INFO(to_string(report.counts));
    return report;
}

std::size_t arrivals_since(platform_fleet& fleet, unsigned upstream, instant from)
{
    auto const record = fleet.upstream(upstream).record();
    return static_cast<std::size_t>(std::count_if(record.arrivals.begin(), record.arrivals.end(),
                                                  [from](auto const& item)
                                                  { return item.at >= from; }));
}

void signal_controls(platform_fleet& fleet, int number)
{
    for (unsigned i = 0; i < fleet.options().controls; ++i)
        fleet.processes().signal(fleet.control_name(i), number);
}

} // namespace

// Guards against requests to an upstream that has said in an answer that it leaves, while the
// registry calls it ready or can't be reached.
SCENARIO("upstreams that state in their answers that they leave")
{
    platform_fleet fleet(options_of("leaving", 24400));
    REQUIRE(fleet.start());
    standin::platform_caller caller(fleet.caller_settings(calls_per_s));
    caller.start();
    pause_ms(1000);
    disturbances excuses;
    std::string const entry = fleet.entry_endpoint(0).value();

    GIVEN("an entry host in touch with the control hosts")
    {
        fleet.upstream(0).state_leaving();
        pause_ms(500);
        instant const told = instant::clock::now();
        pause_ms(3000);
        CHECK(arrivals_since(fleet, 0, told) == 0);
        auto const report = finish(fleet, caller);
        CHECK(report.violations.empty());
        CHECK(report.counts.served == report.counts.calls);
        CHECK(fleet.log_of("e0").find("event=upstream_leaving") != std::string::npos);
    }
    GIVEN("an entry host that reaches no control host")
    {
        signal_controls(fleet, SIGSTOP);
        fleet.upstream(0).state_leaving();
        pause_ms(500);
        instant const told = instant::clock::now();
        pause_ms(3500);
        CHECK(arrivals_since(fleet, 0, told) == 0);
        signal_controls(fleet, SIGCONT);
        pause_ms(2000);
        THEN("a view that still calls the upstream ready doesn't bring it back")
        {
            CHECK(arrivals_since(fleet, 0, told) == 0);
            CHECK(finish(fleet, caller).violations.empty());
        }
    }
    GIVEN("a new upstream at the address of the one that left")
    {
        fleet.upstream(0).state_leaving();
        pause_ms(1000);
        fleet.start_upstream(0);
        pause_ms(6000);
        CHECK(!fleet.upstream(0).record().arrivals.empty());
        CHECK(finish(fleet, caller).violations.empty());
    }
    GIVEN("a restart of the entry host")
    {
        fleet.upstream(0).state_leaving();
        pause_ms(1000);
        instant const restarted = instant::clock::now();
        fleet.processes().signal("e0", SIGTERM);
        CHECK(fleet.processes().await("e0", 6) == 0);
        fleet.start_entry(0);
        REQUIRE(fleet.wait_ready(5));
        excuses[entry].push_back({restarted, instant::clock::now()});
        pause_ms(4000);
        THEN("the host learns of it anew with the first answer, and says so")
        {
            std::string const log = fleet.log_of("e0");
            CHECK(log.find("event=upstream_leaving", log.rfind("event=entry_started")) !=
                  std::string::npos);
            CHECK(finish(fleet, caller, excuses).violations.empty());
        }
    }
    GIVEN("an entry host that is paused after it was told")
    {
        fleet.upstream(0).state_leaving();
        pause_ms(500);
        instant const told = instant::clock::now();
        fleet.processes().signal("e0", SIGSTOP);
        pause_ms(3000);
        fleet.processes().signal("e0", SIGCONT);
        pause_ms(2500);
        CHECK(arrivals_since(fleet, 0, told) == 0);
        CHECK(finish(fleet, caller).violations.empty());
    }
}

// Guards against requests that wait, or reach upstreams, while all upstreams have asked for a
// pause, and against all of them coming back at once.
SCENARIO("all upstreams ask for a pause at once")
{
    platform_fleet fleet(options_of("pause", 24500));
    REQUIRE(fleet.start());
    standin::platform_caller caller(fleet.caller_settings(calls_per_s));
    caller.start();
    pause_ms(1000);
    instant const start = instant::clock::now();
    instant const until = start + milliseconds(1500);
    for (unsigned i = 0; i < fleet.options().upstreams; ++i)
        fleet.upstream(i).pause(until);
    pause_ms(4500);
    auto const report = finish(fleet, caller);
    CHECK(report.violations.empty());
    std::size_t served_after = 0;
    for (auto const& [id, call] : caller.calls())
    {
        INFO(id);
        bool const in_pause = call.at > start + milliseconds(500) && call.at < until;
        if (in_pause && call.status == 503)
            CHECK(call.took_ms < 100);
        served_after += call.at > until + milliseconds(1000) && call.status == 200 ? 1 : 0;
    }
    CHECK(served_after > 100);
    CHECK(fleet.log_of("e0").find("event=upstream_paused") != std::string::npos);
}

// Guards against requests that reach upstreams which have asked for a pause, under a load that
// needs their slots.
SCENARIO("a fifth of the upstreams ask for pauses under load")
{
    platform_fleet_options options = options_of("pauses", 24600);
    options.upstreams = 20;
    options.work_ms = 5;
    options.pausing_upstreams = 4;
    options.pause_share = 0.05;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    standin::platform_caller caller(fleet.caller_settings(2000));
    caller.start();
    pause_ms(8000);
    auto const report = finish(fleet, caller);
    CHECK(report.violations.empty());
    CHECK(report.counts.served > report.counts.calls / 2);
}
