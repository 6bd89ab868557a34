// Tests the fleet register: conflicts of configurations, delayed and repeated announcements, and
// equality of replicas.
#include "register_support.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck/catch.h>

using namespace guavashed;

namespace
{

register_command announce(upstream_row row, std::uint64_t sequence = 1,
                          std::uint32_t cold_left_ms = 0)
{
    register_command command;
    command.kind = register_command_kind::announce;
    command.upstream = std::move(row);
    command.sequence = sequence;
    command.cold_left_ms = cold_left_ms;
    return command;
}

register_command leave(std::string const& id)
{
    register_command command;
    command.kind = register_command_kind::leave;
    command.upstream.id = upstream_name(id);
    return command;
}

upstream_row with_start(upstream_row row, std::int64_t started_ms)
{
    row.born_ms = started_ms;
    return row;
}

} // namespace

// Two operators change the same version at once, or one resends a request that went unanswered.
// Without a check of the base version and of the request's hash, a change would be lost or a resend
// reported as a conflict.
TEST_CASE("only one of two configurations with the same base version is accepted")
{
    driven_register held;
    REQUIRE(held.apply(configure(0, 1, 11)) == register_outcome::accepted);
    REQUIRE(held.apply(configure(1, 5, 15)) == register_outcome::accepted);
    CHECK(held.apply(configure(1, 6, 16)) == register_outcome::conflict);
    CHECK(held.state.version() == config_version(5));

    SECTION("a resend of the accepted request is accepted again, also after later changes")
    {
        CHECK(held.apply(configure(1, 5, 15)) == register_outcome::accepted);
        REQUIRE(held.apply(configure(5, 7, 17)) == register_outcome::accepted);
        CHECK(held.apply(configure(1, 5, 15)) == register_outcome::accepted);
        CHECK(held.state.version() == config_version(7));
        CHECK(held.state.document() == "document 7");
    }
    SECTION("a resend of the refused request is refused again")
    {
        CHECK(held.apply(configure(1, 6, 16)) == register_outcome::conflict);
    }
    SECTION("the version in force with other content is refused")
    {
        CHECK(held.apply(configure(1, 5, 99)) == register_outcome::conflict);
        CHECK(held.apply(configure(5, 5, 98)) == register_outcome::stale_version);
    }
}

// Announcements and leave requests reach several control hosts and may arrive late, repeated or out
// of order. A delayed one must not register an upstream that has left, withdraw its draining, or
// take an address back from its successor.
TEST_CASE("delayed and repeated announcements do not undo later changes of an upstream")
{
    driven_register held;
    REQUIRE(held.apply(announce(roster_upstream("u1"), 4)) == register_outcome::accepted);

    SECTION("an announcement without draining does not end the draining of the same incarnation")
    {
        upstream_row leaving = roster_upstream("u1");
        leaving.draining = true;
        held.apply(announce(leaving, 6));
        held.apply(announce(roster_upstream("u1"), 5));
        held.apply(announce(roster_upstream("u1"), 7));
        CHECK(held.state.upstreams().at(upstream_name("u1")).row.draining);
    }
    SECTION("an upstream that has left is not registered by a delayed announcement")
    {
        held.apply(leave("u1"));
        held.apply(announce(roster_upstream("u1"), 9));
        CHECK(held.state.upstreams().empty());
        CHECK(held.state.reflects(roster_upstream("u1"), 0, at_ms(0)));
    }
    SECTION("an upstream that left with two requests is not registered either")
    {
        // The second request goes to another control host, since the first was not answered.
        held.apply(leave("u1"));
        held.apply(leave("u1"));
        CHECK(held.state.departures().at(upstream_name("u1")).born_ms == 1000);
        held.apply(announce(roster_upstream("u1"), 9));
        CHECK(held.state.upstreams().empty());
    }
    SECTION("a new incarnation under the same id is registered")
    {
        held.apply(leave("u1"));
        held.apply(announce(with_start(roster_upstream("u1"), 5000), 1));
        CHECK(held.state.upstreams().size() == 1);
        held.apply(announce(roster_upstream("u1"), 99));
        CHECK(held.state.upstreams().at(upstream_name("u1")).row.born_ms == 5000);
    }
    SECTION("a successor takes the address over, and a delayed announcement does not regain it")
    {
        held.apply(announce(with_start(roster_upstream("u2"), 5000)));
        CHECK(held.state.upstreams().size() == 1);
        held.apply(announce(roster_upstream("u1"), 9));
        REQUIRE(held.state.upstreams().size() == 1);
        CHECK(held.state.upstreams().begin()->first == upstream_name("u2"));
    }
    SECTION("an upstream that was removed for missed announcements may register again")
    {
        register_command forget = leave("u1");
        forget.kind = register_command_kind::forget;
        forget.upstream = roster_upstream("u1");
        held.apply(forget);
        CHECK(held.state.upstreams().empty());
        held.apply(announce(roster_upstream("u1"), 9));
        CHECK(held.state.upstreams().size() == 1);
    }
    SECTION("a new warm-up must be replicated, the progress of a warm-up need not")
    {
        CHECK_FALSE(held.state.reflects(roster_upstream("u1"), 3000, at_ms(0)));
        held.apply(announce(roster_upstream("u1"), 5, 3000), 0);
        CHECK(held.state.reflects(roster_upstream("u1"), 1500, at_ms(1500)));
        CHECK(held.state.reflects(roster_upstream("u1"), 0, at_ms(3000)));
        CHECK_FALSE(held.state.reflects(roster_upstream("u1"), 3000, at_ms(3100)));
    }
}

// Programs other than the upstream may announce its id or its address by mistake. What the running
// upstream announced must stay in force, or it gets the requests of another service.
TEST_CASE("an announcement that contradicts a running upstream is recognised")
{
    driven_register held;
    routing_config config = roster_config(1);
    config.services.push_back({service_name("crew"), "/health", 100, 3.0, 6.0});
    register_command first = configure(0, 1, 11);
    first.config = config;
    REQUIRE(held.apply(first) == register_outcome::accepted);
    REQUIRE(held.apply(announce(roster_upstream("u1"), 4)) == register_outcome::accepted);
    upstream_row other = roster_upstream("u1");
    other.service = service_name("crew");

    SECTION("its own announcements don't")
    {
        upstream_row draining = roster_upstream("u1");
        draining.draining = true;
        draining.slots = 9;
        CHECK_FALSE(held.state.contradiction(draining));
        CHECK_FALSE(held.state.contradiction(with_start(roster_upstream("u1"), 5000)));
    }
    SECTION("another service of the same incarnation does")
    {
        CHECK(held.state.contradiction(other));
    }
    SECTION("a later incarnation may belong to another service of the configuration")
    {
        CHECK_FALSE(held.state.contradiction(with_start(other, 5000)));
    }
    SECTION("a service that the configuration doesn't have replaces no upstream of one that it has")
    {
        other.service = service_name("unknown");
        CHECK(held.state.contradiction(with_start(other, 5000)));
        other.id = upstream_name("u2");
        CHECK(held.state.contradiction(with_start(other, 5000)));
        other.address = endpoint_text("127.0.0.1:10");
        CHECK_FALSE(held.state.contradiction(with_start(other, 5000)));
    }
    SECTION("an upstream whose service left the configuration is announced as before")
    {
        register_command second = configure(1, 2, 12);
        second.config.services.clear();
        REQUIRE(held.apply(second) == register_outcome::accepted);
        CHECK_FALSE(held.state.contradiction(roster_upstream("u1")));
        CHECK_FALSE(held.state.contradiction(with_start(roster_upstream("u1"), 5000)));
    }
}

// Upstreams become cold while their failure domain is evacuated. Sending them full load right after
// the restore, before they announce it, would overload them.
TEST_CASE("upstreams of a restored failure domain count as cold")
{
    driven_register held;
    held.apply(configure(0, 1, 11));
    held.apply(announce(roster_upstream("u1")));
    register_command evacuation;
    evacuation.kind = register_command_kind::evacuate;
    evacuation.domain = failure_domain_name("north-a");
    held.apply(evacuation);
    CHECK(held.state.evacuated().size() == 1);
    evacuation.kind = register_command_kind::restore;
    held.apply(evacuation, 100);
    CHECK(held.state.evacuated().empty());
    CHECK(held.state.cold_left_ms(upstream_name("u1"), at_ms(100)) >= 3000);

    SECTION("a resend of the restore request changes nothing")
    {
        log_index const changed = held.state.changed();
        held.apply(evacuation, 200);
        CHECK(held.state.changed() == changed);
    }
}

// A control host that was paused, or one that proposes an order again to a new leader, may have a
// copy of an order committed after a later order on the same subject was acknowledged.
SCENARIO("a copy of an order has no effect after a later order on the same subject")
{
    driven_register held;
    auto const order = [](register_command_kind kind, std::uint64_t known_index)
    {
        register_command command;
        command.kind = kind;
        command.domain = failure_domain_name("north-a");
        command.known_index = log_index(known_index);
        return command;
    };
    GIVEN("a failure domain that was evacuated, restored and evacuated again")
    {
        auto const evacuate = order(register_command_kind::evacuate, 0);
        auto const restore = order(register_command_kind::restore, 1);
        REQUIRE(held.apply(evacuate) == register_outcome::accepted);
        REQUIRE(held.apply(restore) == register_outcome::accepted);
        REQUIRE(held.apply(order(register_command_kind::evacuate, 2)) ==
                register_outcome::accepted);
        THEN("a copy of the restore doesn't end the second evacuation")
        {
            CHECK(held.apply(restore) == register_outcome::outdated);
            CHECK(held.state.evacuated().size() == 1);
        }
        THEN("a restore by a host that knows the second evacuation ends it")
        {
            CHECK(held.apply(order(register_command_kind::restore, 3)) ==
                  register_outcome::accepted);
            CHECK(held.state.evacuated().empty());
            AND_THEN("a copy of the first evacuation doesn't come into force again")
            {
                CHECK(held.apply(evacuate) == register_outcome::outdated);
                CHECK(held.state.evacuated().empty());
            }
        }
        THEN("a replica that starts from a snapshot decides alike")
        {
            fleet_register loaded;
            REQUIRE(loaded.load(held.state.save()));
            held.state = loaded;
            CHECK(held.apply(restore) == register_outcome::outdated);
        }
        THEN("an evacuation that is sent again is acknowledged again")
        {
            CHECK(held.apply(evacuate) == register_outcome::accepted);
        }
    }
    GIVEN("an upstream that left and started again under its id")
    {
        register_command first_leave = leave("u1");
        first_leave.known_index = log_index(1);
        first_leave.upstream.born_ms = 1000;
        held.apply(announce(roster_upstream("u1")));
        REQUIRE(held.apply(first_leave) == register_outcome::accepted);
        held.apply(announce(with_start(roster_upstream("u1"), 5000)));
        THEN("a copy of the first leave doesn't remove the later incarnation")
        {
            CHECK(held.apply(first_leave) == register_outcome::outdated);
            CHECK(held.state.upstreams().size() == 1);
        }
    }
}

// Guards against a control host that can't start, or loses what it acknowledged, after an upgrade:
// its disk holds a log and a snapshot of the earlier format.
SCENARIO("commands and snapshots of version 1 are read")
{
    GIVEN("an order that was logged without the index that its host knew")
    {
        as_version_1<register_command> earlier;
        earlier.message = leave("u1");
        auto const read = decode<register_command>(encode(earlier), "log");
        REQUIRE(read);
        CHECK(read.value().upstream.id == upstream_name("u1"));
        THEN("it applies whatever changed before it")
        {
            driven_register held;
            held.apply(announce(with_start(roster_upstream("u1"), 5000)));
            CHECK(held.apply(read.value()) == register_outcome::accepted);
            CHECK(held.state.upstreams().empty());
        }
    }
    GIVEN("a snapshot with an evacuation")
    {
        driven_register held;
        held.apply(configure(0, 1, 11));
        register_command evacuation;
        evacuation.kind = register_command_kind::evacuate;
        evacuation.domain = failure_domain_name("north-a");
        held.apply(evacuation);
        fleet_register loaded;
        REQUIRE(loaded.load(encode(as_version_1<fleet_register>{held.state})));
        CHECK(loaded.version() == config_version(1));
        CHECK(loaded.evacuated() == held.state.evacuated());
    }
    GIVEN("a version that nobody has written")
    {
        std::string bytes = encode(leave("u1"));
        bytes[1] = 9;
        CHECK_FALSE(decode<register_command>(bytes, "log"));
    }
}

// State that a snapshot omits, or that depends on more than the commands, would let replicas
// diverge after a restart.
TEST_CASE("replicas that apply the same commands hold the same state")
{
    rc::prop("with a snapshot loaded after any command",
             [](std::vector<std::uint16_t> const& steps, std::uint8_t cut)
             {
                 driven_register whole;
                 driven_register restarted;
                 std::uint64_t version = 0;
                 for (std::size_t i = 0; i < steps.size(); ++i)
                 {
                     std::uint16_t const step = steps[i];
                     std::string const id = "u" + std::to_string(step % 5);
                     register_command command;
                     switch (step / 5 % 4)
                     {
                     case 0:
                         command = configure(version, version + 1 + step % 2, step);
                         break;
                     case 1:
                         command = leave(id);
                         break;
                     default:
                         command = announce(with_start(roster_upstream(id), step % 7), step);
                         command.upstream.address =
                             endpoint_text("127.0.0.1:" + std::to_string(1 + step % 3));
                         break;
                     }
                     std::uint64_t const before = whole.state.version().value();
                     whole.apply(command);
                     restarted.apply(command);
                     version = whole.state.version().value();
                     RC_ASSERT(version >= before);
                     if (i == cut)
                     {
                         fleet_register loaded;
                         RC_ASSERT(loaded.load(restarted.state.save()).has_value());
                         restarted.state = loaded;
                     }
                     // No two upstreams have the same address.
                     std::set<endpoint_text> addresses;
                     for (auto const& [name, held] : whole.state.upstreams())
                         RC_ASSERT(addresses.insert(held.row.address).second);
                 }
                 RC_ASSERT(whole.state.save() == restarted.state.save());
             });
}

// After a restart the log replays commands of the host's earlier incarnation with the numbers that
// the new one issues again. Taking them for its own would acknowledge a request that is not
// committed yet.
TEST_CASE("a process does not take a command of its earlier incarnation for its own")
{
    host_name const host("127.0.0.1:7720");
    ticket_source earlier(host);
    ticket_source later(host);
    command_ticket const first = earlier.next();
    command_ticket const pending = later.next();
    CHECK(first != pending);
    CHECK(earlier.issued(first));
    CHECK_FALSE(later.issued(first));
    CHECK(later.issued(pending));
    CHECK_FALSE(
        later.issued({host_name("127.0.0.2:7720"), pending.origin_incarnation, pending.number}));
}
