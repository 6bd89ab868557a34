// Guards against callers that read large answers slowly or not at all: memory without bound,
// answers of other callers that are refused, delayed or cut, and readers that are cut although they
// make progress.
#include "http_server_support.hpp"

using namespace guavashed;

namespace
{

constexpr unsigned short port = http_test_port;
/// What the kernel takes for a caller that doesn't read.
constexpr int small_buffer = 16 * 1024;
constexpr std::size_t large_answer = 540'000;
constexpr std::size_t most_held = 4'000'000;

http_server_limits small_limits()
{
    http_server_limits limits;
    limits.max_held_bytes = most_held;
    limits.max_buffered_bytes = 1'000'000;
    return limits;
}

using raw_callers = std::vector<std::unique_ptr<raw_caller>>;

raw_callers callers_of(std::size_t count, std::string const& bytes)
{
    raw_callers out;
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(std::make_unique<raw_caller>(port, bytes, small_buffer));
    return out;
}

std::size_t ended(raw_callers& callers)
{
    return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(),
                                                  [](std::unique_ptr<raw_caller> const& item)
                                                  {
                                                      item->receive_for(milliseconds(20));
                                                      return item->has_ended();
                                                  }));
}

} // namespace

SCENARIO("many callers that don't read large answers")
{
    running_server running(small_limits());
    auto const& counters = running.server.counters();
    running.handler.answer_padding = large_answer;
    GIVEN("fewer than fill the memory for answers")
    {
        auto idle = callers_of(6, get("/idle"));
        REQUIRE(becomes_true([&] { return counters.held_bytes > 6 * large_answer; }));
        THEN("their answers count as held until they are written")
        {
            std::this_thread::sleep_for(milliseconds(100));
            CHECK(counters.held_bytes > 6 * large_answer);
            for (auto& item : idle)
                CHECK(item->receive_for(milliseconds(300)).size() > large_answer);
            CHECK(becomes_true([&] { return counters.held_bytes == 0; }));
        }
        THEN("they are released when the callers leave")
        {
            idle.clear();
            CHECK(becomes_true([&] { return counters.held_bytes == 0 && counters.open == 0; }));
        }
        CHECK(counters.given_up_for_memory == 0);
    }
    GIVEN("more than fill it")
    {
        auto const idle = callers_of(24, get("/idle"));
        REQUIRE(becomes_true([&] { return counters.given_up_for_memory >= 24 - 7; }));
        THEN("memory stays bounded, and each connection that is given up counts")
        {
            CHECK(becomes_true([&] { return counters.held_bytes <= most_held; }));
            CHECK(becomes_true(
                [&] { return counters.given_up_for_memory == counters.accepted - counters.open; }));
        }
        THEN("other callers get large answers, and those with a body are not refused")
        {
            for (int i = 0; i < 20; ++i)
                CHECK(raw_caller(port, get("/reads"))
                          .receive_until("/reads" + std::string(9, '.'))
                          .starts_with("HTTP/1.1 200"));
            std::string const body(100'000, 'b');
            CHECK(raw_caller(port, post("/body", body))
                      .receive_until("/body")
                      .starts_with("HTTP/1.1 200"));
            CHECK(counters.refused_for_memory == 0);
        }
    }
}

SCENARIO("the connection with the least progress for the longest is given up first")
{
    running_server running(small_limits());
    auto const& counters = running.server.counters();
    running.handler.answer_padding = large_answer;
    auto stalled = callers_of(1, get("/stalled"));
    REQUIRE(becomes_true([&] { return counters.held_bytes > large_answer; }));
    running.handler.answer_padding = 2'000'000;
    // The largest; it reads steadily, but has not finished when memory runs out.
    raw_caller reads(port, get("/reads"), small_buffer);
    std::size_t taken = 0;
    auto const read_for = [&](int steps)
    {
        for (int i = 0; i < steps && taken < 2'000'000 && !reads.has_ended(); ++i)
        {
            taken += reads.read_some(20'000);
            std::this_thread::sleep_for(milliseconds(10));
        }
    };
    read_for(40);
    running.handler.answer_padding = large_answer;
    auto newer = callers_of(2, get("/newer"));
    REQUIRE(becomes_true([&] { return counters.accepted == 4; }));
    read_for(5);
    REQUIRE(counters.given_up_for_memory == 0);
    newer.push_back(std::make_unique<raw_caller>(port, get("/newest"), small_buffer));
    REQUIRE(becomes_true([&] { return counters.given_up_for_memory == 1; }));
    THEN("it is neither the largest, which is read, nor one of the newest")
    {
        CHECK(ended(stalled) == 1);
        CHECK(stalled.front()->was_reset());
        read_for(1000);
        CHECK(taken >= 2'000'000);
        CHECK(counters.given_up_for_memory == 1);
        CHECK(ended(newer) == 0);
    }
}

SCENARIO("the deadline for a reader is one on its progress")
{
    http_server_limits limits;
    limits.idle_timeout = milliseconds(1000);
    running_server running(limits);
    running.handler.answer_padding = 4'000'000;
    raw_caller caller(port, get("/1"), 64 * 1024);
    GIVEN("a reader that takes twice the timeout for its answer")
    {
        std::size_t taken = 0;
        instant const start = instant::clock::now();
        while (!caller.has_ended() && taken < 4'000'000)
        {
            taken += caller.read_some(20'000);
            std::this_thread::sleep_for(milliseconds(10));
        }
        CHECK(instant::clock::now() - start > limits.idle_timeout * 3 / 2);
        CHECK(taken >= 4'000'000);
        CHECK(running.server.counters().given_up_without_progress == 0);
    }
    GIVEN("a reader that stops in the middle")
    {
        caller.read_some(20'000);
        REQUIRE(
            becomes_true([&] { return running.server.counters().given_up_without_progress == 1; }));
        CHECK(becomes_true([&] { return running.server.counters().held_bytes == 0; }));
        caller.receive_to_end();
        CHECK(caller.was_reset());
    }
}

SCENARIO("a caller that pipelines requests for large answers and doesn't read")
{
    running_server running(small_limits());
    auto const& counters = running.server.counters();
    running.handler.answer_padding = large_answer;
    std::string all;
    for (int i = 0; i < 50; ++i)
        all += get("/" + std::to_string(i) + "/");
    raw_caller caller(port, all, small_buffer);
    REQUIRE(becomes_true([&] { return counters.held_bytes > large_answer; }));
    std::this_thread::sleep_for(milliseconds(100));
    THEN("few of them run, and it holds no more than one connection may")
    {
        CHECK(running.handler.started().size() <= 3);
        CHECK(counters.held_bytes <= small_limits().max_connection_held_bytes);
        AND_THEN("all are answered in order once it reads")
        {
            std::string const answers =
                caller.receive_until("/49/" + std::string(large_answer, '.'));
            std::size_t at = 0;
            for (int i = 0; i < 50; ++i)
                REQUIRE((at = answers.find("\r\n\r\n/" + std::to_string(i) + "/.", at)) !=
                        std::string::npos);
        }
    }
}
