// Tests access in the fleet register: what earlier versions stored, and the index of its changes.
#include "fleet/view_messages.hpp"
#include "register_support.hpp"

#include <catch2/catch.hpp>

using namespace guavashed;

namespace
{

// Hexadecimal bytes that the code before wire version 3 wrote: the command of a configuration
// "r4" with one route and one service, and the snapshot after it and an evacuation of "north-a".
constexpr std::string_view command_of_version_2 =
    "010200000200000000000000633100000000000000000300000000000000110000000000000000000000"
    "000000000400000000000000010000000000000001000000000000006101000000000000006801000000"
    "000000002f01840300002c01000001000000020000000001000000000000000100000000000000730000"
    "00000000f03f010000000000000005000000000000006e6f727468010000000000000001000000000000"
    "007300000000000000000000000000000000000000000000000000000000004000000000000000001000"
    "00000000b80b0000983a000002000000000000007b7d0000000000000000000000000000000000000000"
    "000000000000000000000000010000000000000000000000000000000000000000000000000000000000"
    "0000002900000000000000";
constexpr std::string_view snapshot_of_version_2 =
    "010200040000000000000001000000000000000100000000000000610100000000000000680100000000"
    "0000002f01840300002c0100000100000002000000000100000000000000010000000000000073000000"
    "000000f03f010000000000000005000000000000006e6f72746801000000000000000100000000000000"
    "730000000000000000000000000000000000000000000000000000000000400000000000000000100000"
    "000000b80b0000983a000002000000000000007b7d010000000000000002000000000000000000000000"
    "0000000000000000000000010000000000000007000000000000006e6f7274682d610100000000000000"
    "110000000000000001000000000000001100000000000000010000000000000007000000000000006e6f"
    "7274682d610200000000000000";

std::string bytes_of(std::string_view hexadecimal)
{
    std::string out;
    for (std::size_t at = 0; at < hexadecimal.size(); at += 2)
        out += static_cast<char>(std::stoi(std::string(hexadecimal.substr(at, 2)), nullptr, 16));
    return out;
}

register_command with_key(register_command command, std::string const& key)
{
    command.access.requires_key = true;
    workspace_config acme;
    acme.name = workspace_name("acme");
    acme.keys.push_back(digest_of(key));
    command.access.workspaces.push_back(std::move(acme));
    return command;
}

} // namespace

// Guards against a control host that can't start, or loses what it acknowledged, after an upgrade.
// The bytes are those of the earlier code, since both directions of today's code could err alike.
SCENARIO("commands and snapshots of version 2 are read")
{
    GIVEN("a configuration that was logged")
    {
        auto const read = decode<register_command>(bytes_of(command_of_version_2), "log");
        REQUIRE(read);
        CHECK(read.value().config.version == config_version(4));
        CHECK(read.value().config.routes.at(0).regions == std::vector{region_name("north")});
        CHECK(read.value().known_index == log_index(41));
        CHECK(read.value().access == access_config());
    }
    GIVEN("a snapshot")
    {
        driven_register held;
        REQUIRE(held.state.load(bytes_of(snapshot_of_version_2)));
        CHECK(held.state.version() == config_version(4));
        CHECK(held.state.evacuated().contains(failure_domain_name("north-a")));
        CHECK(held.state.access() == access_config());
        CHECK(held.state.access_changed() == log_index());
        THEN("it holds an access configuration from the next change on")
        {
            held.index = 2;
            REQUIRE(held.apply(with_key(configure(4, 5, 15), "k-1")) == register_outcome::accepted);
            CHECK(held.state.access_changed() == log_index(3));
            fleet_register loaded;
            REQUIRE(loaded.load(held.state.save()));
            CHECK(loaded.access() == held.state.access());
            CHECK(loaded.access_changed() == log_index(3));
        }
    }
}

// Entry hosts get the keys again only when `access_changed` moves, and take part in the lease of
// the keys by it. Moved too rarely, a removed key stays in use; too often, each change of a route
// sends thousands of keys to each host.
SCENARIO("only a configuration that alters access moves the index of its last change")
{
    driven_register held;
    REQUIRE(held.apply(configure(0, 1, 11)) == register_outcome::accepted);
    CHECK(held.state.access_changed() == log_index());
    REQUIRE(held.apply(with_key(configure(1, 2, 12), "k-1")) == register_outcome::accepted);
    CHECK(held.state.access_changed() == log_index(2));

    SECTION("a change of routes")
    {
        REQUIRE(held.apply(with_key(configure(2, 3, 13), "k-1")) == register_outcome::accepted);
        CHECK(held.state.config_changed() == log_index(3));
        CHECK(held.state.access_changed() == log_index(2));
    }
    SECTION("another key")
    {
        REQUIRE(held.apply(with_key(configure(2, 3, 13), "k-2")) == register_outcome::accepted);
        CHECK(held.state.access_changed() == log_index(3));
        CHECK(held.state.access().workspaces.at(0).keys == std::vector{digest_of("k-2")});
    }
    SECTION("a document without workspaces")
    {
        REQUIRE(held.apply(configure(2, 3, 13)) == register_outcome::accepted);
        CHECK(held.state.access_changed() == log_index(3));
        CHECK_FALSE(held.state.access().requires_key);
    }
    SECTION("a refused change")
    {
        REQUIRE(held.apply(with_key(configure(1, 3, 13), "k-2")) == register_outcome::conflict);
        CHECK(held.state.access_changed() == log_index(2));
    }
}

// Entry hosts are updated first, and take their view from control hosts of the earlier version.
TEST_CASE("changes of version 1 are read, and those of version 2 have access")
{
    fleet_changes changes;
    changes.to = 7;
    changes.controls = {endpoint_text("127.0.0.1:7720")};
    changes.access = with_key({}, "k-1").access;
    auto const current = decode<fleet_changes>(encode(changes), "peer");
    REQUIRE(current);
    CHECK(current.value().access == changes.access);
    auto const earlier =
        decode<fleet_changes>(encode(as_version_1<fleet_changes>{changes}), "peer");
    REQUIRE(earlier);
    CHECK(earlier.value().controls == changes.controls);
    CHECK_FALSE(earlier.value().access);
}
