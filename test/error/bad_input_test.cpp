// Malformed input from files, flags, environment variables, callers and peers must be rejected with
// an error that names the faulty field or setting. Input that passed validation by mistake would
// only fail later, in the running system and far from its source.
#include "base/codec.hpp"
#include "control/configuration.hpp"
#include "control/fleet_messages.hpp"
#include "daemon/settings.hpp"
#include "entry/entry_front.hpp"
#include "entry/ticket.hpp"
#include "support.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>

using namespace guavashed;

namespace
{

std::string const valid_intent = R"({
  "services": [{"name": "roster", "kinds": [{"name": "confirm", "rank": "urgent", "idempotent": false}],
                "floors": {"urgent": 500, "normal": 200, "archive": 0}}],
  "regions": [{"name": "north", "failure_domains": ["a", "b"], "slot_cap": 8, "entry_hosts": 4}],
  "links": []})";

std::string replaced(std::string text, std::string const& from, std::string const& to)
{
    auto const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

/// Replaces `from` by `to` in the valid intent and returns the error; fails if it is accepted.
error intent_error(std::string const& from, std::string const& to)
{
    auto const parsed = parse_intent(replaced(valid_intent, from, to));
    REQUIRE_FALSE(parsed);
    return parsed.error();
}

std::vector<std::string> valid_settings(std::string const& key_file)
{
    return {"--name=e0",
            "--region=north",
            "--domain=north-a",
            "--role=entry",
            "--caller-listen=127.0.0.1:1",
            "--peer-listen=127.0.0.1:2",
            "--operator-listen=127.0.0.1:3",
            "--controls=c0=127.0.0.1:4/north/north-a",
            "--cluster-key-file=" + key_file,
            "--operator-key-file=" + key_file};
}

} // namespace

SCENARIO("an invalid intent is rejected with an error that names the field")
{
    REQUIRE(parse_intent(valid_intent));
    SECTION("malformed JSON")
    {
        CHECK_FALSE(parse_intent("{"));
    }
    SECTION("an unknown field")
    {
        error const failure = intent_error("\"links\": []", "\"links\": [], \"lnks\": []");
        CHECK(failure.peer == "intent.lnks");
    }
    SECTION("a link to an undefined region")
    {
        error const failure = intent_error(
            "\"links\": []",
            R"("links": [{"from": "north", "to": "nowhere", "bytes_per_second": 5000}])");
        CHECK(failure.code == error_code::unknown_place);
        CHECK(failure.detail.find("nowhere") != std::string::npos);
    }
    SECTION("a slot cap that is too small for its entry hosts")
    {
        error const failure = intent_error("\"slot_cap\": 8", "\"slot_cap\": 3");
        CHECK(failure.peer == "intent.regions[0].slot_cap");
    }
    SECTION("numbers out of range or of the wrong type")
    {
        CHECK(intent_error("\"slot_cap\": 8", "\"slot_cap\": -1").code ==
              error_code::invalid_document);
        CHECK(intent_error("\"slot_cap\": 8", "\"slot_cap\": 1e300").code ==
              error_code::invalid_document);
        CHECK(intent_error("\"slot_cap\": 8", "\"slot_cap\": \"8\"").code ==
              error_code::invalid_document);
    }
    SECTION("floors that add up to more than the whole")
    {
        CHECK(intent_error("\"normal\": 200", "\"normal\": 600").peer ==
              "intent.services[0].floors");
    }
    SECTION("a duplicate region name")
    {
        error const failure = intent_error(
            "\"entry_hosts\": 4}]",
            R"("entry_hosts": 4}, {"name": "north", "failure_domains": ["c"], "slot_cap": 8, "entry_hosts": 4}])");
        CHECK(failure.detail.find("north twice") != std::string::npos);
    }
}

SCENARIO("an invalid setting is reported with its source and the allowed values")
{
    std::string const key_file = "/tmp/guavashed-test-key-" + std::to_string(::getpid());
    std::ofstream(key_file) << "0123456789abcdef\n";
    REQUIRE(read_settings(valid_settings(key_file)));
    auto const failure_of = [&](std::string const& argument)
    {
        auto arguments = valid_settings(key_file);
        auto const name = argument.substr(0, argument.find('=') + 1);
        std::erase_if(arguments, [&](std::string const& item) { return item.starts_with(name); });
        arguments.push_back(argument);
        auto const parsed = read_settings(arguments);
        REQUIRE_FALSE(parsed);
        return to_string(parsed.error());
    };
    SECTION("flags")
    {
        CHECK(failure_of("--lookup-validity-ms=1").find("500 to 600000") != std::string::npos);
        CHECK(failure_of("--peer-listen=localhost:1").find("numeric IP address") !=
              std::string::npos);
        CHECK(failure_of("--peer-listen=127.0.0.1:70000").find("peer-listen") != std::string::npos);
        CHECK(failure_of("--role=king").find("entry or control") != std::string::npos);
        CHECK(failure_of("--controls=c0=127.0.0.1:4/north").find("NAME=IP:PORT") !=
              std::string::npos);
        CHECK(failure_of("--name=a b").find("letters") != std::string::npos);
        CHECK(failure_of("--cluster-key-file=/nonexistent").find("cluster-key-file") !=
              std::string::npos);
        CHECK(failure_of("--no-such-flag=1").find("--help") != std::string::npos);
    }
    SECTION("environment variables")
    {
        ::setenv("GUAVASHED_LOOKUP_VALIDITY_MS", "many", 1);
        auto const parsed = read_settings(valid_settings(key_file));
        ::unsetenv("GUAVASHED_LOOKUP_VALIDITY_MS");
        REQUIRE_FALSE(parsed);
        CHECK(to_string(parsed.error()).find("GUAVASHED_LOOKUP_VALIDITY_MS") != std::string::npos);
    }
    SECTION("a key that is too short")
    {
        std::ofstream(key_file) << "short\n";
        CHECK_FALSE(read_settings(valid_settings(key_file)));
    }
}

SCENARIO("malformed idempotency keys and announcements are rejected")
{
    for (char const* key : {"", "x", "c1~1~2", "c1~1~2~", "c1~2~1~x", "c1+c1~1~2~x", "c1~a~2~x",
                            "~1~2~x", "a+b+c+d+e+f+g+h~1~2~x"})
        CHECK_FALSE(parse_ticket(idempotency_key(key)));
    CHECK_FALSE(parse_ticket(idempotency_key(std::string(1000, 'x'))));
    std::string const good =
        R"({"name":"u","service":"s","region":"r","failure_domain":"d","address":"127.0.0.1:1","slots":4})";
    REQUIRE(parse_announcement(good));
    CHECK_FALSE(parse_announcement("[]"));
    CHECK_FALSE(parse_announcement(replaced(good, "\"slots\":4", "\"slots\":0")));
    CHECK_FALSE(parse_announcement(replaced(good, "\"slots\":4", "\"slots\":1e12")));
    CHECK_FALSE(parse_announcement(replaced(good, "127.0.0.1:1", "upstream.example:1")));
    CHECK_FALSE(parse_announcement(replaced(good, "\"name\":\"u\"", "\"name\":\"u/../x\"")));
}

SCENARIO("truncated messages and unknown message versions fail to decode")
{
    host_row row;
    row.host = host_name("e0");
    std::string const good = encode(row);
    REQUIRE(decode<host_row>(good, "peer").value() == row);
    for (std::size_t length = 0; length < good.size(); ++length)
        CHECK_FALSE(decode<host_row>(good.substr(0, length), "peer"));
    std::string other_version = good;
    other_version[1] = 9;
    auto const failure = decode<host_row>(other_version, "peer");
    REQUIRE_FALSE(failure);
    CHECK(failure.error().peer == "peer");
}

SCENARIO("an incomplete or inconsistent chart is rejected with an error that names the state")
{
    chart_vocabulary const vocabulary{{"a", "b"}, {"go"}};
    auto const problem = [&](char const* text)
    {
        auto const parsed = chart::parse(text, "test.json", vocabulary);
        REQUIRE_FALSE(parsed);
        return to_string(parsed.error());
    };
    REQUIRE(chart::parse(R"({"initial":"a","states":[
        {"name":"a","on":[{"event":"go","to":"b"}],"ignore":[]},
        {"name":"b","on":[],"ignore":["go"]}]})",
                         "test.json", vocabulary));
    CHECK(problem(R"({"initial":"a","states":[
        {"name":"a","on":[],"ignore":["go"]},{"name":"b","on":[],"ignore":["go"]}]})")
              .find("state b: is unreachable from the initial state") != std::string::npos);
    CHECK(problem(R"({"initial":"a","states":[
        {"name":"a","on":[{"event":"go","to":"b"}],"ignore":[]},{"name":"b","on":[],"ignore":[]}]})")
              .find("state b: has no transition for event go") != std::string::npos);
    CHECK(
        problem(
            R"({"initial":"a","states":[{"name":"a","on":[{"event":"fly","to":"b"}],"ignore":[]}]})")
            .find("unknown event fly") != std::string::npos);
    CHECK(problem(R"({"initial":"z","states":[]})").find("unknown state z") != std::string::npos);
    CHECK(problem("{").find("test.json") != std::string::npos);
}
