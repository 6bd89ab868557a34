// Tests of the platform daemon as real processes with simulated callers and upstreams.
#include "fleet_options.hpp"
#include "platform_caller.hpp"
#include "platform_invariants.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace fleet_test;

namespace
{

platform_fleet_options options_of(std::string const& name, unsigned base_port)
{
    platform_fleet_options options = fleet_options("platform-" + name, base_port);
    return options;
}

constexpr double calls_per_s = 150;

void pause_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

invariant_report finish(platform_fleet& fleet, standin::platform_caller& caller)
{
    caller.finish();
    auto const report = check_invariants(caller.calls(), fleet.records());
    for (auto const& violation : report.violations)
        UNSCOPED_INFO(violation);
    UNSCOPED_INFO(to_string(report.counts));
    return report;
}

} // namespace

// Guards against failed requests during planned operations: restarts of entry hosts, drains of
// upstreams, the evacuation of a failure domain and reloads of settings. Requests can fail when
// they cross such a change on their way.
SCENARIO("planned operations do not fail requests")
{
    platform_fleet fleet(options_of("planned", 21000));
    REQUIRE(fleet.start());
    standin::platform_caller caller(fleet.caller_settings(calls_per_s));
    caller.start();
    pause_ms(700);

    WHEN("no operation is in progress")
    {
        pause_ms(1500);
        auto const report = finish(fleet, caller);
        CHECK(report.violations.empty());
        CHECK(report.counts.served == report.counts.calls);
    }
    WHEN("entry hosts are restarted one after the other")
    {
        for (unsigned i = 0; i < fleet.options().entries; ++i)
        {
            fleet.processes().signal(fleet.entry_name(i), SIGTERM);
            CHECK(fleet.processes().await(fleet.entry_name(i), 6) == 0);
            fleet.start_entry(i);
            REQUIRE(fleet.wait_ready(5));
            pause_ms(600);
        }
        auto const report = finish(fleet, caller);
        CHECK(report.violations.empty());
        // An entry host answers every request that it has read; only a new connection may coincide
        // with the stop and stay unanswered.
        CHECK(report.counts.failed == 0);
    }
    WHEN("upstreams drain one after the other")
    {
        for (unsigned i = 0; i < 3; ++i)
        {
            fleet.upstream(i).drain();
            pause_ms(400);
        }
        pause_ms(3500);
        for (unsigned i = 0; i < 3; ++i)
            CHECK(fleet.upstream(i).record().drain_acknowledged);
        auto const report = finish(fleet, caller);
        CHECK(report.violations.empty());
        CHECK(report.counts.failed == 0);
    }
    WHEN("a failure domain is evacuated and the evacuation is ended")
    {
        REQUIRE(fleet.request_control(0, "POST", "/v1/evacuation/north-a") == 200);
        pause_ms(1000);
        auto const before = fleet.upstream(0).record().arrivals.size();
        pause_ms(1000);
        CHECK(fleet.upstream(0).record().arrivals.size() == before);
        REQUIRE(fleet.request_control(1, "DELETE", "/v1/evacuation/north-a") == 200);
        pause_ms(6000);
        CHECK(fleet.upstream(0).record().arrivals.size() > before);
        CHECK(finish(fleet, caller).violations.empty());
    }
    WHEN("all hosts reload their settings")
    {
        for (unsigned i = 0; i < fleet.options().entries; ++i)
            fleet.processes().signal(fleet.entry_name(i), SIGHUP);
        for (unsigned i = 0; i < fleet.options().controls; ++i)
            fleet.processes().signal(fleet.control_name(i), SIGHUP);
        pause_ms(800);
        auto const report = finish(fleet, caller);
        CHECK(report.violations.empty());
        CHECK(report.counts.served == report.counts.calls);
        CHECK(fleet.log_of("e0").find("event=reloaded") != std::string::npos);
    }
}

// Guards against the loss of an acknowledged configuration, stale reads, and two changes accepted
// for the same base version. They can come about when control hosts crash together, lose their
// disks, resume after a freeze, or receive competing changes.
SCENARIO("an acknowledged configuration survives failures of control hosts")
{
    platform_fleet fleet(options_of("control", 22000));
    REQUIRE(fleet.start());
    auto const controls = fleet.options().controls;

    WHEN("all control hosts are killed at once")
    {
        REQUIRE(fleet.configure(7));
        for (unsigned i = 0; i < controls; ++i)
            fleet.processes().signal(fleet.control_name(i), SIGKILL);
        for (unsigned i = 0; i < controls; ++i)
        {
            fleet.processes().await(fleet.control_name(i), 5);
            fleet.start_control(i);
        }
        REQUIRE(fleet.configure(9));
        CHECK(fleet.read_version(2) == 9);
    }
    WHEN("two control hosts lose their disks right after an acknowledgement")
    {
        REQUIRE(fleet.configure(7));
        for (unsigned i = 0; i < 2; ++i)
        {
            fleet.processes().signal(fleet.control_name(i), SIGKILL);
            fleet.processes().await(fleet.control_name(i), 5);
            fleet.lose_disk(i);
        }
        for (unsigned i = 0; i < 2; ++i)
            fleet.start_control(i);
        // Two further hosts may lose their disks once the first two have been back for the recovery
        // time that the platform specifies.
        pause_ms(4000);
        for (unsigned i = 2; i < 4; ++i)
        {
            fleet.processes().signal(fleet.control_name(i), SIGKILL);
            fleet.processes().await(fleet.control_name(i), 5);
            fleet.lose_disk(i);
            fleet.start_control(i);
        }
        REQUIRE(fleet.configure(9));
        CHECK(fleet.read_version(4) == 9);
    }
    WHEN("a control host is frozen during a configuration change and resumes")
    {
        // The frozen host may be the leader.
        unsigned const frozen = GENERATE(0u, 1u, 2u);
        fleet.processes().signal(fleet.control_name(frozen), SIGSTOP);
        REQUIRE(fleet.configure(7, 15));
        fleet.processes().signal(fleet.control_name(frozen), SIGCONT);
        for (int i = 0; i < 20; ++i)
        {
            std::uint64_t const read = fleet.read_version(frozen);
            CHECK((read == 0 || read == 7));
            pause_ms(20);
        }
    }
    WHEN("concurrent changes have the same base version")
    {
        std::string answer;
        std::string const body = "{\"version\":\"r5\",\"base_version\":\"r1\",\"routes\":{},"
                                 "\"services\":{}}";
        std::string const other = "{\"version\":\"r6\",\"base_version\":\"r1\",\"routes\":{},"
                                  "\"services\":{}}";
        unsigned first = 0;
        unsigned second = 0;
        std::thread first_change([&]
                                 { first = fleet.request_control(0, "PUT", "/v1/config", body); });
        second = fleet.request_control(1, "PUT", "/v1/config", other);
        first_change.join();
        CHECK(((first == 200 && second == 412) || (first == 412 && second == 200)));
        // Resent changes get their first response again, from any host.
        CHECK(fleet.request_control(2, "PUT", "/v1/config", body) == first);
        CHECK(fleet.request_control(3, "PUT", "/v1/config", other) == second);
    }
}

// Guards against duplicate execution, false refusals and crossed responses when entry hosts and
// upstreams crash with requests in flight and some responses are never sent.
SCENARIO("invariants hold while entry hosts and upstreams are killed")
{
    platform_fleet_options options = options_of("kills", 23000);
    options.unanswered_share = 0.05;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    standin::platform_caller caller(fleet.caller_settings(calls_per_s));
    caller.start();
    pause_ms(500);
    for (unsigned i = 0; i < 6; ++i)
    {
        fleet.start_upstream(i % fleet.options().upstreams);
        std::string const entry = fleet.entry_name(i % fleet.options().entries);
        fleet.processes().signal(entry, SIGKILL);
        fleet.processes().await(entry, 5);
        fleet.start_entry(i % fleet.options().entries);
        pause_ms(700);
    }
    auto const report = finish(fleet, caller);
    CHECK(report.violations.empty());
    CHECK(report.counts.served > report.counts.calls / 2);
}

// Guards against requests that fail although the upstream rejected them without executing them, so
// that a retry on another upstream is safe and within the retry budget.
SCENARIO("requests rejected by an upstream without execution are retried on another one")
{
    platform_fleet_options options = options_of("shed", 23400);
    options.shed_share = 0.08;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    standin::platform_caller caller(fleet.caller_settings(calls_per_s));
    caller.start();
    pause_ms(4000);
    auto const report = finish(fleet, caller);
    CHECK(report.violations.empty());
    // Two upstreams in a row reject 0.08 * 0.08 of the requests; the retry budget of 0.2 allows the
    // second attempt.
    CHECK(report.counts.served > report.counts.calls * 0.98);
}

// Guards against failed idempotent requests when an idle persistent connection turns out to be
// reset as the next request is sent on it, as happens when the peer has lost the connection's
// state.
SCENARIO("an idempotent request lost on a reset connection is retried on a new connection")
{
    platform_fleet_options options = options_of("forgotten", 23600);
    options.relays = true;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    // The low rate keeps so few connections open that the retry budget covers a retry for each.
    standin::platform_caller caller(fleet.caller_settings(30));
    caller.start();
    pause_ms(4000);
    for (unsigned i = 0; i < fleet.options().upstreams; ++i)
        fleet.relay_of(i).reset_open_on_send();
    pause_ms(2500);
    auto const report = finish(fleet, caller);
    CHECK(report.violations.empty());
    for (auto const& [id, call] : caller.calls())
        if (!call.at_most_once)
        {
            INFO(id << " at " << call.entry);
            CHECK(call.status == 200);
        }
}

// Guards against an entry host that resumes after a freeze and routes by outdated state: upstreams
// that were drained in the meantime would still receive requests.
SCENARIO("an entry host that resumes after a freeze does not route by outdated state")
{
    platform_fleet_options options = options_of("frozen", 23200);
    options.entries = 1;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    standin::platform_caller caller(fleet.caller_settings(calls_per_s));
    caller.start();
    pause_ms(800);
    fleet.processes().signal(fleet.entry_name(0), SIGSTOP);
    pause_ms(200);
    for (unsigned i = 0; i < 4; ++i)
        fleet.upstream(i).drain();
    pause_ms(3200);
    for (unsigned i = 0; i < 4; ++i)
        REQUIRE(fleet.upstream(i).record().drain_acknowledged);
    fleet.processes().signal(fleet.entry_name(0), SIGCONT);
    pause_ms(2500);
    auto const report = finish(fleet, caller);
    CHECK(report.violations.empty());
    CHECK(report.counts.served > report.counts.calls / 4);
}
