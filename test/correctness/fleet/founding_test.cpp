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
