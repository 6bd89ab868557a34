// Guards against a first start that never ends because a host is lost in it, and against entry
// hosts that start together without knowing of each other.
#include "fleet_options.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace fleet_test;

namespace
{

constexpr unsigned seed_count = 3;
/// Longest time from the first start to the first acknowledged configuration.
constexpr double founding_limit_s = 15;

platform_fleet_options options_of(std::string const& name, unsigned base_port)
{
    platform_fleet_options out = fleet_options(name, base_port);
    out.entries = 1;
    out.upstreams = 2;
    return out;
}

void pause_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Entry hosts that the host's first view named, after the part of the log that ends at `from`;
/// empty if it logs no view within 2 s.
std::optional<std::size_t> hosts_in_first_view(platform_fleet const& fleet, unsigned entry,
                                               std::size_t from)
{
    for (int step = 0; step < 40; ++step)
    {
        std::string const log = fleet.log_of(fleet.entry_name(entry)).substr(from);
        std::string const line = log.substr(std::min(log.size(), log.find("event=view ")));
        constexpr std::string_view key = " entries=";
        auto const at = line.find(key);
        if (at != std::string::npos && line.find('\n') != std::string::npos)
            return std::stoul(line.substr(at + key.size()));
        pause_ms(50);
    }
    return std::nullopt;
}

} // namespace

SCENARIO("the control group is founded although one of its seeds is lost")
{
    GIVEN("control hosts that start for the first time, one seed among them not")
    {
        unsigned const lost = GENERATE(0u, 1u, 2u);
        INFO("lost: seed " << lost);
        platform_fleet fleet(options_of("founding", 25700));
        for (unsigned i = 0; i < fleet.options().controls; ++i)
            if (i != lost)
                fleet.start_control(i, true);
        fleet.start_entry(0);
        REQUIRE(fleet.configure(1, founding_limit_s));
        THEN("requests are served, and the seed is taken in when it comes back with a new disk")
        {
            for (unsigned i = 0; i < fleet.options().upstreams; ++i)
                fleet.start_upstream(i);
            CHECK(fleet.wait_ready(10));
            fleet.start_control(lost);
            pause_ms(3000);
            CHECK(fleet.configure(2));
            CHECK(fleet.read_version(lost) == 2);
        }
    }
    GIVEN("a seed that is back with a new disk before the others have founded the group")
    {
        platform_fleet fleet(options_of("founding", 25700));
        for (unsigned i = 1; i < fleet.options().controls; ++i)
            fleet.start_control(i, true);
        fleet.start_control(0);
        THEN("the others found it")
        {
            CHECK(fleet.configure(1, founding_limit_s));
        }
    }
    GIVEN("two seeds of three, which lose their power before the group is founded")
    {
        platform_fleet_options options = options_of("founding", 25700);
        options.controls = seed_count;
        platform_fleet fleet(options);
        fleet.start_control(0, true);
        fleet.start_control(1, true);
        pause_ms(500);
        for (unsigned i = 0; i < 2; ++i)
        {
            fleet.processes().signal(fleet.control_name(i), SIGKILL);
            fleet.processes().await(fleet.control_name(i), 5);
        }
        WHEN("they start again, which is not the first start any more")
        {
            fleet.start_control(0);
            fleet.start_control(1);
            THEN("they found it")
            {
                CHECK(fleet.configure(1, founding_limit_s));
            }
        }
    }
}

SCENARIO("entry hosts that start together know of each other from their first view")
{
    platform_fleet_options options = options_of("together", 25800);
    options.controls = seed_count;
    options.entries = 6;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    std::vector<std::size_t> log_sizes;
    for (unsigned i = 0; i < options.entries; ++i)
    {
        fleet.processes().signal(fleet.entry_name(i), SIGKILL);
        fleet.processes().await(fleet.entry_name(i), 5);
        log_sizes.push_back(fleet.log_of(fleet.entry_name(i)).size());
    }
    for (unsigned i = 0; i < options.entries; ++i)
        fleet.start_entry(i);
    REQUIRE(fleet.wait_ready(10));
    for (unsigned i = 0; i < options.entries; ++i)
    {
        INFO(fleet.entry_name(i));
        // Each is connected, and so counts, before any of them is ready.
        auto const named = hosts_in_first_view(fleet, i, log_sizes[i]);
        REQUIRE(named);
        CHECK(*named >= 1);
    }
}
