#include "platform_caller.hpp"
#include "platform_fleet.hpp"
#include "platform_promises.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace fleet_test;

namespace
{

platform_fleet_options options_of(std::string const& name, unsigned base_port)
{
    platform_fleet_options options;
    options.work_folder = std::string(GUAVASHED_BINARY_FOLDER) + "/run/platform-" + name;
    options.binary = std::string(GUAVASHED_BINARY_FOLDER) + "/guavashed-platform";
    options.base_port = base_port;
    return options;
}

constexpr double calls_per_s = 150;

void pause_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

promise_report finish(platform_fleet& fleet, standin::platform_caller& caller)
{
    caller.finish();
    auto const report = check_promises(caller.calls(), fleet.records());
    for (auto const& breach : report.breaches)
        UNSCOPED_INFO(breach);
    UNSCOPED_INFO(to_string(report.counts));
    return report;
}

} // namespace

SCENARIO("callers are served while planned work goes on")
{
    platform_fleet fleet(options_of("planned", 21000));
    REQUIRE(fleet.start());
    standin::platform_caller caller(fleet.caller_settings(calls_per_s));
    caller.start();
    pause_ms(700);

    WHEN("nothing happens")
    {
        pause_ms(1500);
        auto const report = finish(fleet, caller);
        CHECK(report.breaches.empty());
        CHECK(report.counts.served == report.counts.calls);
    }
    WHEN("entry hosts are stopped and started in turn")
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
        CHECK(report.breaches.empty());
        // A request that was read is answered; at worst a connection crosses the stop.
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
        CHECK(report.breaches.empty());
        CHECK(report.counts.failed == 0);
    }
    WHEN("a failure domain is evacuated and taken back")
    {
        REQUIRE(fleet.order(0, "POST", "/v1/evacuation/north-a") == 200);
        pause_ms(1000);
        auto const before = fleet.upstream(0).record().arrivals.size();
        pause_ms(1000);
        CHECK(fleet.upstream(0).record().arrivals.size() == before);
        REQUIRE(fleet.order(1, "DELETE", "/v1/evacuation/north-a") == 200);
        pause_ms(6000);
        CHECK(fleet.upstream(0).record().arrivals.size() > before);
        CHECK(finish(fleet, caller).breaches.empty());
    }
    WHEN("the settings change")
    {
        for (unsigned i = 0; i < fleet.options().entries; ++i)
            fleet.processes().signal(fleet.entry_name(i), SIGHUP);
        for (unsigned i = 0; i < fleet.options().controls; ++i)
            fleet.processes().signal(fleet.control_name(i), SIGHUP);
        pause_ms(800);
        auto const report = finish(fleet, caller);
        CHECK(report.breaches.empty());
        CHECK(report.counts.served == report.counts.calls);
        CHECK(fleet.log_of("e0").find("event=reloaded") != std::string::npos);
    }
}

SCENARIO("what was acknowledged stays, whatever control hosts go through")
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
        // The other two may go as soon as the first are back for the time that the platform gives.
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
    WHEN("a control host freezes while the configuration changes, and wakes")
    {
        // The one frozen may be the leader.
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
    WHEN("orders that race build on one version")
    {
        std::string answer;
        std::string const body = "{\"version\":\"r5\",\"base_version\":\"r1\",\"routes\":{},"
                                 "\"services\":{}}";
        std::string const other = "{\"version\":\"r6\",\"base_version\":\"r1\",\"routes\":{},"
                                  "\"services\":{}}";
        unsigned first = 0;
        unsigned second = 0;
        std::thread racing([&] { first = fleet.order(0, "PUT", "/v1/config", body); });
        second = fleet.order(1, "PUT", "/v1/config", other);
        racing.join();
        CHECK(((first == 200 && second == 412) || (first == 412 && second == 200)));
        // A resend of each gets its own answer again, from any host.
        CHECK(fleet.order(2, "PUT", "/v1/config", body) == first);
        CHECK(fleet.order(3, "PUT", "/v1/config", other) == second);
    }
}

SCENARIO("no promise breaks while processes are killed")
{
    platform_fleet_options options = options_of("kills", 23000);
    options.lost_answers = 0.05;
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
    CHECK(report.breaches.empty());
    CHECK(report.counts.served > report.counts.calls / 2);
}

SCENARIO("requests that an upstream turned away unrun are sent to another one")
{
    platform_fleet_options options = options_of("shed", 23400);
    options.shed = 0.08;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    standin::platform_caller caller(fleet.caller_settings(calls_per_s));
    caller.start();
    pause_ms(4000);
    auto const report = finish(fleet, caller);
    CHECK(report.breaches.empty());
    // Two in a row turn away 0.08 * 0.08 of all, where the budget of 0.2 lets both be tried.
    CHECK(report.counts.served > report.counts.calls * 0.98);
}

SCENARIO("a request that a forgotten connection lost is tried again on a new one")
{
    platform_fleet_options options = options_of("forgotten", 23600);
    options.relays = true;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    // Few enough connections are kept that the budget covers a second try for each of them.
    standin::platform_caller caller(fleet.caller_settings(30));
    caller.start();
    pause_ms(4000);
    for (unsigned i = 0; i < fleet.options().upstreams; ++i)
        fleet.relay_of(i).forget_open();
    pause_ms(2500);
    auto const report = finish(fleet, caller);
    CHECK(report.breaches.empty());
    for (auto const& [id, call] : caller.calls())
        if (!call.at_most_once)
        {
            INFO(id << " at " << call.entry);
            CHECK(call.status == 200);
        }
}

SCENARIO("an entry host that was frozen does not act on what it knew")
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
    CHECK(report.breaches.empty());
    CHECK(report.counts.served > report.counts.calls / 4);
}
