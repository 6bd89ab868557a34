// Guards against an entry host that misses a change because the control host that it takes its view
// from has stopped working, while its sessions with others are open.
#include "fleet_options.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace fleet_test;

namespace
{

void pause_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Index of the control host that the entry host named as its source last.
unsigned source_of(platform_fleet const& fleet, unsigned entry)
{
    std::string const log = fleet.log_of(fleet.entry_name(entry));
    constexpr std::string_view key = "event=source control=";
    auto const at = log.rfind(key);
    REQUIRE(at != std::string::npos);
    for (unsigned i = 0; i < fleet.options().controls; ++i)
        if (log.substr(at + key.size())
                .starts_with(fleet.control_endpoint(i).value().substr(
                    0, fleet.control_endpoint(i).value().find(':') + 1)))
            return i;
    FAIL("the source is no control host");
    return 0;
}

} // namespace

SCENARIO(
    "a change reaches an entry host whose source is frozen, though the others fail right after")
{
    platform_fleet_options options = fleet_options("platform-source", 23800);
    options.entries = 1;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    unsigned const frozen = source_of(fleet, 0);
    fleet.processes().signal(fleet.control_name(frozen), SIGSTOP);
    // Longer than a source may be silent, shorter than its session takes to time out.
    pause_ms(850);
    unsigned status = 0;
    for (unsigned i = 0; i < options.controls && status != 200; ++i)
        if (i != frozen)
            status = fleet.request_control(i, "POST", "/v1/evacuation/south-b");
    REQUIRE(status == 200);
    // Shorter than the time after which the leader pushes what the source has not delivered.
    pause_ms(400);
    for (unsigned i = 0; i < options.controls; ++i)
        if (i != frozen)
            fleet.processes().signal(fleet.control_name(i), SIGKILL);
    pause_ms(100);
    CHECK(fleet.log_of("e0").find(" evacuated=1") != std::string::npos);
}
