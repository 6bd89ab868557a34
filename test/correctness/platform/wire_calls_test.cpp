#include "wire_calls.hpp"

#include <catch2/catch.hpp>

using namespace guavashed;
using namespace guavashed::platform;

namespace
{

http_request confirm_request()
{
    http_request request;
    request.method = "POST";
    request.target = "/pufi791/2f?x=%20y";
    request.body = "crew=7";
    request.fields = {{"Host", "ficu95.example"},
                      {"X-Guavashed-Request-Id", "9c41"},
                      {"Cookie", "theme=dark; X-Guavashed-Affinity-Key=17"},
                      {"X-Guavashed-Request-Deadline", "2500"},
                      {"X-Guavashed-Target-Instance", "i-forged"},
                      {"Connection", "keep-alive, X-Hop"},
                      {"X-Hop", "1"},
                      {"X-Twice", "a"},
                      {"X-Twice", "b"},
                      {"Content-Length", "6"}};
    return request;
}

std::size_t count_of(http_request const& request, std::string const& name)
{
    std::size_t count = 0;
    for (auto const& field : request.fields)
        count += field.name == name ? 1 : 0;
    return count;
}

} // namespace

TEST_CASE("a caller's request is read")
{
    wire_calls const wire;
    http_request request = confirm_request();
    call_facts const facts = wire.read_call(request);
    CHECK(facts.id == "9c41");
    CHECK(facts.host == "ficu95.example");
    CHECK(facts.object == "17");
    CHECK(facts.deadline_ms == 2500);

    SECTION("a deadline that is no number is none")
    {
        request.fields[3].value = "soon";
        CHECK_FALSE(wire.read_call(request).deadline_ms);
    }
}

TEST_CASE("a request is passed on unchanged but for the connection's own fields")
{
    wire_calls const wire;
    http_request const out = wire.forward(confirm_request(), upstream_name("i-7f"), 1200);
    CHECK(out.method == "POST");
    CHECK(out.target == "/pufi791/2f?x=%20y");
    CHECK(out.body == "crew=7");
    CHECK(out.field("Host") == "ficu95.example");
    CHECK(out.field("X-Guavashed-Request-Id") == "9c41");
    CHECK(out.field("X-Guavashed-Request-Deadline") == "1200");
    CHECK(out.field("X-Guavashed-Target-Instance") == "i-7f");
    CHECK(count_of(out, "X-Guavashed-Target-Instance") == 1);
    CHECK(count_of(out, "X-Twice") == 2);
    CHECK(count_of(out, "X-Hop") == 0);
    CHECK(count_of(out, "Connection") == 0);
    CHECK(count_of(out, "Content-Length") == 0);
}

TEST_CASE("an upstream's answer is read and relayed")
{
    wire_calls const wire;
    http_response answer{200,
                         {{"X-Guavashed-Request-Id", "9c41"},
                          {"X-Guavashed-Response-Signature", "3e1b.07"},
                          {"X-Guavashed-Server-Load", "3,1,8"},
                          {"X-Guavashed-Warmup-Remaining", "1500"},
                          {"Keep-Alive", "timeout=10"},
                          {"X-Kept", "1"}},
                         "bytes"};
    answer_facts const facts = wire.read_answer(answer);
    CHECK(facts.is_signed);
    CHECK_FALSE(facts.not_executed);
    REQUIRE(facts.load);
    CHECK(facts.load->running == 3);
    CHECK(facts.load->waiting == 1);
    CHECK(facts.load->slots == 8);
    CHECK(facts.cold_left_ms == 1500);

    http_response const relayed = wire.relay(answer);
    CHECK(relayed.status == 200);
    CHECK(relayed.body == "bytes");
    CHECK(relayed.field("X-Guavashed-Response-Signature") == "3e1b.07");
    CHECK(relayed.field("X-Kept") == "1");
    CHECK(relayed.field("Keep-Alive").empty());
    CHECK(relayed.field("X-Guavashed-Server-Load").empty());

    SECTION("a load that cannot be read is none")
    {
        answer.fields[2].value = "3,x,8";
        CHECK_FALSE(wire.read_answer(answer).load);
    }
}

TEST_CASE("an answer of our own says when to come back, and bears no signature")
{
    wire_calls const wire;
    http_response const out = wire.own_answer(503, "9c41", "no \"room\"", 450);
    CHECK(out.status == 503);
    CHECK(out.field("Retry-After") == "0.450");
    CHECK(out.field("X-Guavashed-Request-Id") == "9c41");
    CHECK(out.field("X-Guavashed-Response-Signature").empty());
    CHECK(out.body == "{\"error\":\"no \\\"room\\\"\"}");
}
