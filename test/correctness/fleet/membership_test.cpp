// Guards against control groups and entry hosts that never recover once control hosts were replaced
// by spare ones.
#include "fleet_options.hpp"

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <deque>
#include <thread>

using namespace fleet_test;

namespace
{

/// Within which a fleet serves again after a fault of all of its hosts.
constexpr double recovery_s = 15;
/// Within which an acknowledged configuration is in force.
constexpr int config_apply_ms = 2500;

void pause_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void kill_control(platform_fleet& fleet, unsigned control)
{
    fleet.processes().signal(fleet.control_name(control), SIGKILL);
    fleet.processes().await(fleet.control_name(control), 5);
}

platform_fleet_options spared_options(std::string const& name, unsigned base_port)
{
    platform_fleet_options out = fleet_options(name, base_port);
    out.entries = 2;
    out.spare_controls = 5;
    return out;
}

void start_spares(platform_fleet& fleet)
{
    unsigned const first = fleet.options().controls;
    for (unsigned i = first; i < first + fleet.options().spare_controls; ++i)
        fleet.start_control(i);
    pause_ms(2000);
}

/// Keeps the control host away for long enough that a spare one takes its place.
void restart_control(platform_fleet& fleet, unsigned control)
{
    kill_control(fleet, control);
    pause_ms(4000);
    fleet.start_control(control);
    pause_ms(3000);
}

/// The control host that says that it leads; empty if none does.
std::optional<unsigned> leader_of(platform_fleet& fleet)
{
    for (unsigned i = 0; i < fleet.options().controls + fleet.options().spare_controls; ++i)
        if (fleet.control_metric(i, "leads") == 1)
            return i;
    return std::nullopt;
}

/// True for a control host that runs and follows no leader.
bool is_outside(platform_fleet& fleet, unsigned control)
{
    std::string const log = fleet.log_of(fleet.control_name(control));
    auto const started = log.rfind("event=control_started");
    return log.find("event=leader leader=", started) == std::string::npos;
}

} // namespace

// Review case 6: two hosts became members without a vote for one free place, and the one that
// stayed such a member stopped all further changes. The group then lost its majority to hosts long
// gone.
SCENARIO("control hosts are replaced one after the other while another one restarts")
{
    platform_fleet_options options = fleet_options("platform-replaced", 24400);
    options.entries = 1;
    options.spare_controls = 5;
    options.spares_come_first = true;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    constexpr unsigned restarting = 4;
    unsigned successor = options.controls;
    // Two of five are lost at once, and both places are taken again before the next two are lost.
    std::deque<unsigned> next_gone{0, 1, 3};
    for (int round = 0; round < 5; ++round)
    {
        kill_control(fleet, restarting);
        pause_ms(1200);
        kill_control(fleet, next_gone.front());
        next_gone.pop_front();
        pause_ms(2000);
        fleet.start_control(successor);
        next_gone.push_back(successor++);
        pause_ms(100);
        fleet.start_control(restarting);
        pause_ms(7000);
        INFO("round " << round);
        auto const leader = leader_of(fleet);
        REQUIRE(leader);
        CHECK(fleet.control_metric(*leader, "voters") == 5);
        CHECK(fleet.control_metric(*leader, "members") == 5);
        CHECK(fleet.control_metric(*leader, "silent_members") == 0);
    }
    THEN("a change is acknowledged, and read back")
    {
        CHECK(fleet.configure(2, 5));
        CHECK(fleet.read_version(restarting) == 2);
    }
}

// Review case 7: an entry host that starts knows its seeds only. Once these were replaced by spare
// hosts, no entry host received a view after a restart.
SCENARIO("entry hosts start while all their seeds are outside of the control group")
{
    platform_fleet_options const options = spared_options("platform-seeds-outside", 24500);
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    start_spares(fleet);
    for (unsigned const seed : {0U, 1U, 2U})
        restart_control(fleet, seed);
    for (unsigned const seed : {0U, 1U, 2U})
        REQUIRE(is_outside(fleet, seed));
    WHEN("all processes are killed and started again")
    {
        for (unsigned i = 0; i < options.controls + options.spare_controls; ++i)
            kill_control(fleet, i);
        for (unsigned i = 0; i < options.entries; ++i)
        {
            fleet.processes().signal(fleet.entry_name(i), SIGKILL);
            fleet.processes().await(fleet.entry_name(i), 5);
        }
        for (unsigned i = 0; i < options.controls + options.spare_controls; ++i)
            fleet.start_control(i);
        for (unsigned i = 0; i < options.entries; ++i)
            fleet.start_entry(i);
        THEN("all entry hosts receive a view")
        {
            CHECK(fleet.wait_ready(recovery_s));
        }
    }
}

// Review case 8: running entry hosts were not told of new control hosts, and kept their view for
// good once all that they knew were outside of the group.
SCENARIO("all control hosts that running entry hosts know are replaced by spare ones")
{
    platform_fleet_options const options = spared_options("platform-entries-stranded", 24600);
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    start_spares(fleet);
    unsigned const leader = fleet.leader();
    for (unsigned i = 0; i < options.controls; ++i)
        if (i != leader)
            restart_control(fleet, i);
    restart_control(fleet, leader);
    for (unsigned i = 0; i < options.controls; ++i)
        REQUIRE(is_outside(fleet, i));
    WHEN("the configuration changes")
    {
        REQUIRE(fleet.configure(2));
        pause_ms(config_apply_ms);
        THEN("it is in force on all entry hosts")
        {
            for (unsigned i = 0; i < options.entries; ++i)
                CHECK(fleet.log_of(fleet.entry_name(i)).find(" version=2 ") != std::string::npos);
        }
    }
}
