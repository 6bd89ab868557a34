// Guards against what callers, by fault or intent, do to a connection of the HTTP server: pipelined
// requests, requests that two parsers frame differently, handlers that throw, and connections
// accepted just before a stop.
#include "http_server_support.hpp"
#include "transport/request_head.hpp"

#include <boost/asio/post.hpp>

using namespace guavashed;

namespace
{

constexpr unsigned short port = http_test_port;

} // namespace

SCENARIO("pipelined requests")
{
    running_server running;
    raw_caller caller(port);
    GIVEN("two requests that may overlap, the first of them slow")
    {
        caller.send(get("/held/1") + get("/2"));
        REQUIRE(becomes_true([&] { return running.handler.started().size() == 2; }));
        THEN("the second runs beside the first, and its answer waits for its turn")
        {
            CHECK(running.handler.started() == targets{"/held/1", "/2"});
            CHECK(caller.receive_for(milliseconds(50)).empty());
            running.handler.answer("/held/1");
            std::string const answers = caller.receive_until("/2");
            CHECK(answers.find("\r\n\r\n/held/1HTTP/1.1 200") != std::string::npos);
        }
        THEN("both are abandoned when the caller leaves")
        {
            caller.send(get("/held/3"));
            REQUIRE(becomes_true([&] { return running.handler.started().size() == 3; }));
            caller.close();
            CHECK(becomes_true([&] { return running.handler.abandoned == 2; }));
        }
    }
    GIVEN("a request that may not overlap behind one that is running")
    {
        caller.send(get("/held/1") + post("/held/2", "x") + get("/3"));
        REQUIRE(becomes_true([&] { return !running.handler.started().empty(); }));
        std::this_thread::sleep_for(milliseconds(50));
        THEN("it starts after the answer to the first, and the third after its own")
        {
            CHECK(running.handler.started() == targets{"/held/1"});
            running.handler.answer("/held/1");
            REQUIRE(becomes_true([&] { return running.handler.started().size() == 2; }));
            std::this_thread::sleep_for(milliseconds(50));
            CHECK(running.handler.started() == targets{"/held/1", "/held/2"});
            running.handler.answer("/held/2");
            caller.receive_until("/3");
            CHECK(running.handler.started() == targets{"/held/1", "/held/2", "/3"});
        }
        THEN("it never starts when the caller leaves first")
        {
            caller.close();
            CHECK(becomes_true([&] { return running.handler.abandoned == 1; }));
            std::this_thread::sleep_for(milliseconds(50));
            CHECK(running.handler.started() == targets{"/held/1"});
        }
    }
    GIVEN("many requests at once")
    {
        std::string all = get("/held/first");
        std::string last;
        for (int i = 0; i < 50; ++i)
            all += get(last = "/n" + std::to_string(i) + "/");
        caller.send(all);
        std::this_thread::sleep_for(milliseconds(100));
        THEN("a bounded number runs ahead, and all are answered in order")
        {
            CHECK(running.handler.started().size() == 8);
            running.handler.answer("/held/first");
            std::string const answers = caller.receive_until(last);
            std::size_t at = 0;
            for (int i = 0; i < 50; ++i)
                CHECK((at = answers.find("\r\n\r\n/n" + std::to_string(i) + "/", at)) !=
                      std::string::npos);
        }
    }
    GIVEN("a stop of the server while two requests run")
    {
        caller.send(get("/held/1") + get("/held/2"));
        REQUIRE(becomes_true([&] { return running.handler.started().size() == 2; }));
        running.server.drain();
        std::this_thread::sleep_for(milliseconds(20));
        running.handler.answer("/held/1");
        running.handler.answer("/held/2");
        THEN("both are answered, and only the last answer closes the connection")
        {
            std::string const answers = caller.receive_to_end();
            CHECK(answers.find("/held/1HTTP/1.1 200") != std::string::npos);
            CHECK(answers.ends_with("/held/2"));
            CHECK(answers.find("Connection: close") > answers.find("/held/1HTTP"));
        }
    }
}

SCENARIO("an answer that closes the connection arrives whole")
{
    running_server running;
    running.handler.answer_padding = 4'000'000;
    raw_caller caller(port);
    // Unread bytes at the server would turn its close into a reset that destroys the answer.
    caller.send(get("/1", "Connection: close\r\n") + post("/2", std::string(300'000, 'b')));
    std::this_thread::sleep_for(milliseconds(100));
    std::string const answer = caller.receive_to_end();
    CHECK_FALSE(caller.was_reset());
    CHECK(answer.size() > 4'000'000);
    CHECK(running.handler.started() == targets{"/1"});
}

// Guards against a body where HTTP allows none: callers read it as the beginning of the next
// answer.
SCENARIO("an answer that has no body is followed by the next answer")
{
    running_server running;
    raw_caller caller(port);
    GIVEN("a HEAD request and a GET on one connection")
    {
        caller.send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n" + get("/2"));
        std::string const answers = caller.receive_until("/2");
        THEN("the answer to HEAD ends with its head, and states the length of the body that it "
             "omits")
        {
            CHECK(answers.starts_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200"));
        }
    }
    GIVEN("an answer whose status has no body")
    {
        std::string const status = GENERATE("204", "304");
        caller.send(get("/status/" + status) + get("/2"));
        std::string const answers = caller.receive_until("/2");
        auto const next = answers.find("HTTP/1.1 200");
        REQUIRE(next != std::string::npos);
        CHECK(answers.starts_with("HTTP/1.1 " + status));
        CHECK(answers.find("\r\n\r\n") + 4 == next);
        CHECK(answers.substr(0, next).find("Content-Length") == std::string::npos);
    }
}

SCENARIO("a request whose framing is ambiguous is refused, and nothing of it runs")
{
    running_server running;
    auto const [name, bytes] = GENERATE(table<std::string, std::string>({
        {"an unknown transfer coding",
         "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n"},
        {"chunked after another coding",
         "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"},
        {"two transfer codings", "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n"},
        {"chunked with a length", "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                                  "Content-Length: 5\r\n\r\n"},
        {"no host", "GET /1 HTTP/1.1\r\n\r\n"},
        {"two hosts", "GET /1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
        {"a folded field", "GET /1 HTTP/1.1\r\nHost: a\r\nB: c\r\n d\r\n\r\n"},
        {"a field without a colon", "GET /1 HTTP/1.1\r\nHost: a\r\nnonsense\r\n\r\n"},
    }));
    INFO(name);
    raw_caller caller(port);
    caller.send(bytes + get("/smuggled"));
    std::string const answers = caller.receive_to_end();
    CHECK(answers.starts_with("HTTP/1.1 400"));
    CHECK(answers.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(running.handler.started().empty());
}

SCENARIO("a handler that fails costs one request, not the process")
{
    running_server running;
    GIVEN("an exception")
    {
        CHECK(raw_caller(port, get("/throw")).receive_until("}").starts_with("HTTP/1.1 500"));
        CHECK(running.server.counters().handler_failures == 1);
    }
    GIVEN("a request that is dropped without an answer")
    {
        CHECK(raw_caller(port, get("/drop")).receive_until("}").starts_with("HTTP/1.1 500"));
    }
    GIVEN("an exception in another handler of the event loop")
    {
        boost::asio::post(running.owner.context(), [] { throw std::runtime_error("as asked"); });
    }
    CHECK(raw_caller(port, get("/next")).receive_until("/next").starts_with("HTTP/1.1 200"));
}

SCENARIO("requests that need more than their head")
{
    running_server running;
    raw_caller caller(port);
    GIVEN("a caller that waits for 100 Continue")
    {
        caller.send("POST /1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                    "Content-Length: 4\r\n\r\n");
        CHECK(caller.receive_until("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
        caller.send("body");
        CHECK(caller.receive_until("/1").starts_with("HTTP/1.1 200"));
    }
    GIVEN("a caller that waits for it with a body beyond the limit")
    {
        caller.send("POST /1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                    "Content-Length: 999999999\r\n\r\n");
        CHECK(caller.receive_to_end().starts_with("HTTP/1.1 413"));
    }
    GIVEN("a TRACE request with a body")
    {
        caller.send("TRACE /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
        CHECK(caller.receive_to_end().starts_with("HTTP/1.1 400"));
    }
    GIVEN("a CONNECT request")
    {
        caller.send("CONNECT b:1 HTTP/1.1\r\nHost: b:1\r\n\r\n");
        CHECK(caller.receive_to_end().starts_with("HTTP/1.1 501"));
    }
    CHECK(running.handler.started().size() <= 1);
}

SCENARIO("a stop of the server cuts no request that its kernel has accepted")
{
    int served = 0;
    int refused = 0;
    int cut = 0;
    for (int round = 0; round < 5; ++round)
    {
        running_server running;
        std::atomic<bool> ended{false};
        std::vector<std::thread> callers;
        std::mutex mutex;
        for (int i = 0; i < 4; ++i)
            callers.emplace_back(
                [&]
                {
                    while (!ended)
                    {
                        call_result const got = call_once(port, get("/x"), "/x");
                        std::unique_lock const lock(mutex);
                        served += got == call_result::answered;
                        refused += got == call_result::not_connected;
                        cut += got == call_result::cut;
                    }
                });
        std::this_thread::sleep_for(milliseconds(100));
        running.server.close();
        CHECK(becomes_true([&] { return running.server.closed(); }));
        ended = true;
        for (auto& item : callers)
            item.join();
    }
    CHECK(served > 100);
    CHECK(refused > 0);
    CHECK(cut == 0);
}

SCENARIO("the framing check of a request head")
{
    CHECK(check_request_head("GET / HTTP/1.1\r\nHost: a\r\n", 100).verdict ==
          head_verdict::incomplete);
    CHECK(check_request_head("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 100).verdict ==
          head_verdict::well_formed);
    CHECK(check_request_head("GET / HTTP/1.0\r\n\r\n", 100).verdict == head_verdict::well_formed);
    CHECK(check_request_head("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 20).verdict ==
          head_verdict::too_large);
    CHECK(check_request_head(std::string(101, 'x'), 100).verdict == head_verdict::too_large);
}
