// Guards against an answer that breaks off and reaches the caller as a complete one.
#include "../../error/raw_caller.hpp"
#include "../../error/scripted_upstream.hpp"
#include "base/endpoint.hpp"
#include "fleet_options.hpp"

#include <catch2/catch.hpp>

using namespace fleet_test;
using guavashed::milliseconds;
using guavashed::raw_caller;
using guavashed::scripted_upstream;

SCENARIO("an answer that breaks off never reaches a caller as a success")
{
    std::string const head = "HTTP/1.1 200 OK\r\nX-Guavashed-Request-Id: 1\r\n"
                             "X-Guavashed-Response-Signature: s\r\n";
    auto const [name, script] = GENERATE_COPY(table<std::string, scripted_upstream::script>({
        {"after its status line", {{"HTTP/1.1 200 OK\r\n"}, "", true}},
        {"between two fields", {{head}, "", true}},
        {"within a field", {{head + "Content-Le"}, "", true}},
        {"within its end", {{head + "Content-Length: 2\r\n\r"}, "", true}},
        {"between two fields, by a reset", {{head}, "", false, true}},
        {"in a body without a length, by a reset", {{head + "\r\nabc"}, "", false, true}},
    }));
    INFO(name);
    platform_fleet_options options = fleet_options("broken-answer", 24300);
    options.entries = 1;
    options.upstreams = 0;
    // More than the socket buffers between an entry host and an upstream hold.
    constexpr std::size_t upload_bytes = 16 * 1024 * 1024;
    options.max_body_bytes = upload_bytes;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    scripted_upstream upstream(script);
    REQUIRE(fleet.request_control(0, "PUT", "/v1/instances/broken",
                                  "{\"address\":\"" + upstream.endpoint().value() +
                                      "\",\"born\":1,\"info\":{\"service\":\"roster\",\"version\":"
                                      "\"v1\",\"zone\":\"north-a\","
                                      "\"concurrency_limit\":4},\"status\":{\"state\":\"ready\","
                                      "\"sequence\":1,\"warmup_left_ms\":0}}") == 200);
    std::this_thread::sleep_for(milliseconds(700));
    auto const entry = guavashed::parse_endpoint(fleet.entry_endpoint(0)).value();
    std::string const fields = " HTTP/1.1\r\nHost: roster.example\r\nX-Guavashed-Request-Id: 1\r\n"
                               "X-Guavashed-Request-Deadline: 900\r\n";
    GIVEN("a request that may run once")
    {
        raw_caller caller(entry, "POST /confirm/1" + fields + "Content-Length: 2\r\n\r\n{}");
        CHECK(caller.receive_until("}").starts_with("HTTP/1.1 502"));
    }
    // Guards against the part of an answer that a reset cut while the upload was being written.
    GIVEN("a long upload that may run once")
    {
        std::string const body(upload_bytes, 'u');
        raw_caller caller(entry, "POST /confirm/1" + fields + "Content-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" + body);
        CHECK(caller.receive_until("}").starts_with("HTTP/1.1 502"));
    }
    GIVEN("two pipelined requests that may run again")
    {
        std::string const request = "GET /check/1" + fields + "\r\n";
        raw_caller caller(entry, request + request);
        std::string const answers = caller.receive_for(milliseconds(1200));
        CHECK(answers.starts_with("HTTP/1.1 50"));
        CHECK(answers.find("HTTP/1.1 50", 1) != std::string::npos);
        CHECK(answers.find("200 OK") == std::string::npos);
    }
    CHECK(upstream.connections() > 0);
}
