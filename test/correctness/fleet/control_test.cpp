// Tests of control hosts as real processes: restarts with large logs, orders that arrive late, and
// entries and orders that are out of order.
#include "../../error/raw_caller.hpp"
#include "base/endpoint.hpp"
#include "fleet_options.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <thread>

using namespace fleet_test;
using guavashed::milliseconds;

namespace
{

/// Memory that the platform grants a control host.
constexpr std::size_t control_memory_bytes = std::size_t{256} * 1024 * 1024;

platform_fleet_options options_of(std::string const& name, unsigned base_port)
{
    platform_fleet_options options = fleet_options("control-" + name, base_port);
    options.entries = 1;
    options.upstreams = 2;
    return options;
}

/// The most memory that the process has had resident.
std::size_t peak_bytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);)
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
    return 0;
}

/// Sends an order to a control host until it is acknowledged, for at most 5 s.
bool order(platform_fleet& fleet, unsigned control, std::string const& method,
           std::string const& target)
{
    for (int i = 0; i < 50; ++i)
    {
        if (fleet.request_control(control, method, target) == 200)
            return true;
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

std::size_t count_of(std::string const& text, std::string const& what)
{
    std::size_t out = 0;
    for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1))
        ++out;
    return out;
}

} // namespace

// Guards against control hosts that exceed their memory while they read their logs, so that none of
// them comes back: each change of the configuration is an entry with the whole configuration.
SCENARIO("control hosts restart after many changes of a large configuration")
{
    platform_fleet_options options = options_of("large", 24000);
    options.unused_routes = 5000;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    constexpr std::uint64_t changes = 60;
    for (std::uint64_t version = 2; version <= changes; ++version)
        REQUIRE(fleet.configure(version));
    auto const controls = fleet.options().controls;
    for (unsigned i = 0; i < controls; ++i)
    {
        INFO(fleet.control_name(i));
        CHECK(peak_bytes(fleet.processes().id_of(fleet.control_name(i))) < control_memory_bytes);
        CHECK(fleet.log_bytes_on_disk(i) < 16 * 1024 * 1024);
    }
    WHEN("all of them are killed at once and started again")
    {
        for (unsigned i = 0; i < controls; ++i)
            fleet.processes().signal(fleet.control_name(i), SIGKILL);
        for (unsigned i = 0; i < controls; ++i)
        {
            fleet.processes().await(fleet.control_name(i), 5);
            fleet.start_control(i);
        }
        std::uint64_t read = 0;
        for (int i = 0; i < 100 && read == 0; ++i)
        {
            read = fleet.read_version(i % controls);
            std::this_thread::sleep_for(milliseconds(100));
        }
        THEN("the configuration acknowledged last is in force, and memory is within its limit")
        {
            CHECK(read == fleet.accepted_version());
            for (unsigned i = 0; i < controls; ++i)
            {
                INFO(fleet.control_name(i));
                CHECK(peak_bytes(fleet.processes().id_of(fleet.control_name(i))) <
                      control_memory_bytes);
            }
        }
    }
    WHEN("one of them loses its disk")
    {
        fleet.processes().signal(fleet.control_name(0), SIGKILL);
        fleet.processes().await(fleet.control_name(0), 5);
        fleet.lose_disk(0);
        fleet.start_control(0);
        THEN("it receives the state from the others")
        {
            std::string const installed = "event=snapshot_installed index=";
            bool caught_up = false;
            for (int i = 0; i < 100 && !caught_up; ++i)
            {
                caught_up =
                    fleet.log_of(fleet.control_name(0)).find(installed) != std::string::npos;
                std::this_thread::sleep_for(milliseconds(100));
            }
            CHECK(caught_up);
            CHECK(peak_bytes(fleet.processes().id_of(fleet.control_name(0))) <
                  control_memory_bytes);
        }
    }
}

// Guards against a control host that wakes from a pause and carries out an order whose caller gave
// up on it, had it acknowledged elsewhere, and has sent the opposite order since.
SCENARIO("an order that a paused control host reads late has no effect")
{
    platform_fleet fleet(options_of("late", 24100));
    REQUIRE(fleet.start());
    auto const controls = fleet.options().controls;
    bool const leads = GENERATE(false, true);
    bool const caller_leaves = GENERATE(true, false);
    unsigned const paused = (fleet.leader() + (leads ? 0 : 1)) % controls;
    unsigned const other = (paused + 1) % controls;
    INFO("the paused host " << (leads ? "leads" : "follows") << ", the caller "
                            << (caller_leaves ? "leaves" : "stays"));
    std::string const target = "/v1/evacuation/north-a";
    REQUIRE(order(fleet, other, "POST", target));
    fleet.processes().signal(fleet.control_name(paused), SIGSTOP);
    guavashed::raw_caller late(guavashed::parse_endpoint(fleet.control_endpoint(paused)).value(),
                               "DELETE " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(1100));
    if (caller_leaves)
        late.close();
    REQUIRE(order(fleet, other, "DELETE", target));
    REQUIRE(order(fleet, other, "POST", target));
    fleet.processes().signal(fleet.control_name(paused), SIGCONT);
    std::this_thread::sleep_for(milliseconds(2000));
    std::string const log = fleet.log_of(fleet.control_name(other));
    auto const last_evacuation = log.rfind("kind=evacuate");
    REQUIRE(last_evacuation != std::string::npos);
    CHECK(count_of(log.substr(last_evacuation), "kind=restore") == 0);
    if (!caller_leaves)
        CHECK(late.receive_until("}").starts_with("HTTP/1.1 503"));
}

// Guards against one odd order or announcement that ends the processes which read it, or all
// processes that receive it from the log.
SCENARIO("odd orders and announcements don't disturb the control hosts")
{
    platform_fleet fleet(options_of("odd", 24200));
    REQUIRE(fleet.start());
    auto const controls = fleet.options().controls;
    std::string const deep(200'000, '[');
    std::string const row = "{\"address\":\"127.0.3.9:24220\",\"born\":1,\"info\":{\"service\":"
                            "\"roster\",\"version\":\"v1\",\"zone\":\"north-a\","
                            "\"concurrency_limit\":4},\"status\":{\"state\":\"ready\","
                            "\"sequence\":1,\"warmup_left_ms\":0}}";
    auto const with = [&row](std::string const& what, std::string const& value)
    {
        std::string out = row;
        return out.replace(out.find(what), what.size(), value);
    };
    unsigned status = 0;
    std::string const name = GENERATE("nesting", "a number", "a birth", "a sequence", "a port",
                                      "a long name", "a long id", "a long configuration");
    INFO(name);
    if (name == "nesting")
        status = fleet.request_control(1, "PUT", "/v1/instances/odd", deep);
    else if (name == "a number")
        status =
            fleet.request_control(1, "PUT", "/v1/instances/odd",
                                  with("\"concurrency_limit\":4", "\"concurrency_limit\":1e999"));
    else if (name == "a birth")
        status = fleet.request_control(1, "PUT", "/v1/instances/odd",
                                       with("\"born\":1", "\"born\":18446744073709551615"));
    else if (name == "a sequence")
        status = fleet.request_control(1, "PUT", "/v1/instances/odd",
                                       with("\"sequence\":1", "\"sequence\":18446744073709551615"));
    else if (name == "a port")
        status = fleet.request_control(1, "PUT", "/v1/instances/odd", with(":24220", ":99999"));
    else if (name == "a long name")
        status = fleet.request_control(1, "PUT", "/v1/instances/odd",
                                       with("roster", std::string(9'000'000, 'r')));
    else if (name == "a long id")
        status = fleet.request_control(1, "PUT", "/v1/instances/" + std::string(10'000, 'i'), row);
    else
        status = fleet.request_control(
            1, "PUT", "/v1/config",
            "{\"version\":\"r50\",\"base_version\":\"r1\",\"routes\":{},\"services\":{\"" +
                std::string(9'000'000, 's') + "\":{}}}");
    THEN("they are refused, all processes run on, and the next change comes into force")
    {
        CHECK((status == 400 || status == 413));
        CHECK(fleet.configure(60));
        std::this_thread::sleep_for(milliseconds(300));
        for (unsigned i = 0; i < controls; ++i)
            CHECK(fleet.processes().running(fleet.control_name(i)));
        CHECK(fleet.processes().running(fleet.entry_name(0)));
        CHECK(fleet.entry_ready(0));
    }
}
