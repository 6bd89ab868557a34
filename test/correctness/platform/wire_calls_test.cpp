// Guards against errors at the border to the platform: a forged target or hop-by-hop field that
// reaches an upstream, internal fields that reach a caller, and unreadable fields taken for values.
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

TEST_CASE("the fields of a caller's request are read")
{
    wire_calls const wire;
    http_request request = confirm_request();
    request_metadata const facts = wire.read_call(request);
    CHECK(facts.id == "9c41");
    CHECK(facts.host == "ficu95.example");
    CHECK(facts.object == "17");
    CHECK(facts.deadline_ms == 2500);

    SECTION("a deadline that is not a number is ignored")
    {
        request.fields[3].value = "soon";
        CHECK_FALSE(wire.read_call(request).deadline_ms);
    }
}

TEST_CASE("a request is forwarded unchanged except for hop-by-hop fields, deadline and target")
{
    wire_calls const wire;
    http_request const out = wire.forward(confirm_request(), upstream_name("i-7f"), 1200, {});
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

TEST_CASE("an upstream's answer is read, and relayed without internal fields")
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
    response_metadata const facts = wire.read_answer(answer);
    CHECK(facts.is_signed);
    CHECK(facts.statement == execution_statement::none);
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

    SECTION("the answer to HEAD keeps the length of the body that it omits")
    {
        answer.body.clear();
        answer.fields.push_back({"Content-Length", "517"});
        CHECK(wire.relay(answer).field("Content-Length") == "517");
    }
    SECTION("a load of three figures states no pace")
    {
        CHECK(facts.load->pace == 1);
    }
    SECTION("a fourth figure is the pace of the machine in percent, later ones are ignored")
    {
        answer.fields[2].value = GENERATE("3,1,8,250", "3,1,8,250,7", "3,1,8,250,x");
        auto const load = wire.read_answer(answer).load;
        REQUIRE(load);
        CHECK(load->slots == 8);
        CHECK(load->pace == 2.5);
    }
    SECTION("an unreadable pace doesn't cost the other figures")
    {
        answer.fields[2].value = GENERATE("3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,-5");
        auto const load = wire.read_answer(answer).load;
        REQUIRE(load);
        CHECK(load->waiting == 1);
        CHECK(load->pace == 1);
    }
    SECTION("a malformed load is ignored")
    {
        answer.fields[2].value = "3,x,8";
        CHECK_FALSE(wire.read_answer(answer).load);
    }
}

// Guards against requests to an upstream that has said that it wants none, and against an upstream
// that is left alone because of a field that says nothing.
SCENARIO("what an upstream says of itself in an answer")
{
    wire_calls const wire;
    http_response answer{503, {{"X-Guavashed-Request-Id", "9c41"}}, ""};
    GIVEN("an upstream that leaves")
    {
        answer.status = GENERATE(200u, 500u, 503u);
        answer.fields.push_back({GENERATE("Server-Leaving", "server-leaving"), "1"});
        CHECK(wire.read_answer(answer).is_leaving);
        THEN("its statement is not passed on: to a caller, it would be the entry host's")
        {
            CHECK(wire.relay(answer).field("Server-Leaving").empty());
        }
        THEN("a second field of the name doesn't take it back")
        {
            answer.fields.insert(answer.fields.begin(), {"Server-Leaving", "0"});
            CHECK(wire.read_answer(answer).is_leaving);
        }
    }
    GIVEN("a field with another value, or none")
    {
        CHECK_FALSE(wire.read_answer(answer).is_leaving);
        answer.fields.push_back({"Server-Leaving", GENERATE("", "0", "2", "11", "true", "-1")});
        CHECK_FALSE(wire.read_answer(answer).is_leaving);
    }
    GIVEN("a refusal that asks for a pause")
    {
        auto const [value, ms] = GENERATE(table<char const*, std::uint32_t>(
            {{"2", 2000}, {"0.25", 250}, {"0.0001", 1}, {"0", 0}, {"7200", 7200000}}));
        answer.fields.push_back({"Retry-After", value});
        auto const facts = wire.read_answer(answer);
        CHECK(facts.pause_ms == ms);
        CHECK(facts.unreadable_pause.empty());
    }
    GIVEN("a refusal with more seconds than a number holds")
    {
        answer.fields.push_back({"Retry-After", "99999999999999999999"});
        CHECK(wire.read_answer(answer).pause_ms == 4294967295u);
    }
    GIVEN("a refusal with a pause that can't be read")
    {
        char const* const value = GENERATE("-1", "-0", "soon", "nan", "inf", "1e3", "2 s",
                                           "Wed, 21 Oct 2026 07:28:00 GMT");
        answer.fields.push_back({"Retry-After", value});
        auto const facts = wire.read_answer(answer);
        CHECK_FALSE(facts.pause_ms);
        CHECK(facts.unreadable_pause == value);
    }
    GIVEN("an answer of another status with Retry-After")
    {
        answer.status = GENERATE(200u, 429u, 500u);
        answer.fields.push_back({"Retry-After", "2"});
        CHECK_FALSE(wire.read_answer(answer).pause_ms);
    }
}

// Guards against a refusal that callers read as "not run" and that rests on a negated statement.
SCENARIO("what an answer states about the execution of its request")
{
    wire_calls const wire;
    http_response answer{503, {{"X-Guavashed-Request-Id", "9c41"}}, ""};
    GIVEN("no statement")
    {
        CHECK(wire.read_answer(answer).statement == execution_statement::none);
        CHECK(wire.read_answer(answer).responder == upstream_name());
    }
    GIVEN("a statement, once or twice")
    {
        answer.fields.push_back({"X-Guavashed-Not-Executed", "1"});
        answer.fields.push_back({GENERATE("x-guavashed-not-executed", "X-Other"), "1"});
        CHECK(wire.read_answer(answer).statement == execution_statement::not_run);
        CHECK(wire.read_answer(answer).statement_text.starts_with("1"));
    }
    GIVEN("a negated statement, alone or beside another")
    {
        answer.fields.push_back({"X-Guavashed-Not-Executed", GENERATE("", "0", "False", "no")});
        if (GENERATE(false, true))
            answer.fields.push_back({"X-Guavashed-Not-Executed", "1"});
        CHECK(wire.read_answer(answer).statement == execution_statement::unclear);
    }
    GIVEN("the name of its sender")
    {
        answer.fields.push_back({"X-Guavashed-Instance-Id", "i-7f"});
        CHECK(wire.read_answer(answer).responder == upstream_name("i-7f"));
    }
}

TEST_CASE("an answer generated by the gateway has Retry-After and no signature")
{
    wire_calls const wire;
    http_response const out = wire.local_response(503, "9c41", "no \"room\"", 450);
    CHECK(out.status == 503);
    CHECK(out.field("Retry-After") == "0.450");
    CHECK(out.field("X-Guavashed-Request-Id") == "9c41");
    CHECK(out.field("X-Guavashed-Response-Signature").empty());
    CHECK(out.body == "{\"error\":\"no \\\"room\\\"\"}");
}
