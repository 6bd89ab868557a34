// Guards against callers that hold memory or connections of the HTTP server without bound: bodies
// beyond the memory of the process, framing without end, and callers that trickle.
#include "http_server_support.hpp"

using namespace guavashed;

namespace
{

constexpr unsigned short port = http_test_port;

} // namespace

SCENARIO("callers cannot hold memory or connections without bound")
{
    http_server_limits limits;
    limits.max_body_bytes = 2'000'000;
    limits.max_buffered_bytes = 3'000'000;
    limits.header_timeout = milliseconds(200);
    limits.idle_timeout = milliseconds(400);
    running_server running(limits);
    GIVEN("bodies that together exceed the memory limit")
    {
        raw_caller first(port, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1900000\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(50));
        raw_caller second(port, "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1900000\r\n\r\n");
        std::string const answer = second.receive_to_end();
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After: ") != std::string::npos);
        first.send(std::string(1'900'000, 'x'));
        CHECK(first.receive_until("/1").starts_with("HTTP/1.1 200"));
        CHECK(running.server.counters().refused_for_memory == 1);
    }
    GIVEN("a chunk size line or a trailer without end")
    {
        std::string const part = GENERATE("5;", "0\r\nA: ");
        raw_caller caller(port,
                          "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
                              part + std::string(200'000, 'x'));
        CHECK(caller.receive_to_end().starts_with("HTTP/1.1 431"));
    }
    GIVEN("a head that trickles")
    {
        raw_caller caller(port, "GET / HTTP/1.1\r\nHo");
        CHECK(caller.receive_to_end().starts_with("HTTP/1.1 408"));
    }
    GIVEN("a body that trickles")
    {
        raw_caller caller(port, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab");
        CHECK(caller.receive_to_end().starts_with("HTTP/1.1 408"));
    }
    GIVEN("a connection without a request")
    {
        raw_caller caller(port, "");
        CHECK(caller.receive_to_end().empty());
        CHECK_FALSE(caller.was_reset());
    }
    CHECK(running.handler.started().size() <= 1);
}
