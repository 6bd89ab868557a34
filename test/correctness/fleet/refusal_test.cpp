// Guards against refusals that promise "not run" for requests that an upstream has run.
#include "../../error/raw_caller.hpp"
#include "../../error/scripted_upstream.hpp"
#include "base/endpoint.hpp"
#include "fleet_options.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace fleet_test;
using guavashed::milliseconds;
using guavashed::raw_caller;
using guavashed::scripted_upstream;

namespace
{

std::string answer(std::string const& status, std::string const& fields)
{
    return "HTTP/1.1 " + status + "\r\nX-Guavashed-Request-Id: 1\r\n" + fields +
           "Content-Length: 0\r\n\r\n";
}

/// An entry host and one upstream, which answers with scripted bytes.
class scripted_fleet
{
public:
    explicit scripted_fleet(std::string const& bytes) : fleet_(options()), upstream_({{bytes}})
    {
        REQUIRE(fleet_.start());
        std::string const announcement = "{\"address\":\"" + upstream_.endpoint().value() +
                                         "\",\"born\":1,\"info\":{\"service\":\"roster\","
                                         "\"version\":\"v1\",\"zone\":\"north-a\","
                                         "\"concurrency_limit\":4},\"status\":{\"state\":\"ready\","
                                         "\"sequence\":1,\"warmup_left_ms\":0}}";
        REQUIRE(fleet_.request_control(0, "PUT", "/v1/instances/scripted", announcement) == 200);
        std::this_thread::sleep_for(milliseconds(700));
    }

    /// Sends a request that may run once and returns the status line of its answer.
    std::string confirm()
    {
        raw_caller caller(guavashed::parse_endpoint(fleet_.entry_endpoint(0)).value(),
                          "POST /confirm/1 HTTP/1.1\r\nHost: roster.example\r\n"
                          "X-Guavashed-Request-Id: 1\r\nX-Guavashed-Request-Deadline: 900\r\n"
                          "Content-Length: 2\r\n\r\n{}");
        std::string const bytes = caller.receive_until("\r\n\r\n");
        CHECK(upstream_.connections() == 1);
        return bytes.substr(0, bytes.find("\r\n"));
    }
    /// Whether the entry host writes that text to its log within 2 s.
    bool logs(std::string const& text) const
    {
        for (int i = 0; i < 200 && fleet_.log_of("e0").find(text) == std::string::npos; ++i)
            std::this_thread::sleep_for(milliseconds(10));
        return fleet_.log_of("e0").find(text) != std::string::npos;
    }

private:
    static platform_fleet_options options()
    {
        platform_fleet_options out = fleet_options("refusal", 24700);
        out.entries = 1;
        out.upstreams = 0;
        return out;
    }

    platform_fleet fleet_;
    scripted_upstream upstream_;
};

} // namespace

SCENARIO("a caller is told \"not run\" only where the upstream's answer proves it")
{
    std::string const stated = "X-Guavashed-Not-Executed: 1\r\n";
    std::string const is_signed = "X-Guavashed-Response-Signature: s\r\n";
    GIVEN("an upstream that has run the request and refuses it")
    {
        auto const [name, bytes] = GENERATE_COPY(table<std::string, std::string>({
            {"without a statement, 503", answer("503 Busy", "")},
            {"without a statement, 429", answer("429 Busy", "")},
            {"without a statement, 408", answer("408 Late", "")},
            {"with a statement of 0", answer("503 Busy", "X-Guavashed-Not-Executed: 0\r\n")},
            {"with a statement of false",
             answer("503 Busy", "X-Guavashed-Not-Executed: false\r\n")},
            {"with two statements that differ",
             answer("503 Busy", stated + "X-Guavashed-Not-Executed: 0\r\n")},
            {"with a statement and the signature of a run", answer("503 Busy", stated + is_signed)},
            {"as misdirected, with its signature", answer("421 Misdirected", is_signed)},
            {"as misdirected, and names itself",
             answer("421 Misdirected", "X-Guavashed-Instance-Id: scripted\r\n")},
            {"with a statement, and its success behind the refusal",
             answer("503 Busy", stated) + answer("200 OK", is_signed)},
        }));
        INFO(name);
        scripted_fleet fleet(bytes);
        CHECK(fleet.confirm().starts_with("HTTP/1.1 502"));
    }
    GIVEN("an upstream that states that it has not run the request")
    {
        auto const [name, bytes] = GENERATE_COPY(table<std::string, std::string>({
            {"with status 503", answer("503 Busy", stated)},
            {"with status 429", answer("429 Busy", stated)},
            {"as another one", answer("421 Misdirected", "X-Guavashed-Instance-Id: other\r\n")},
            {"as one without a name", answer("421 Misdirected", "")},
        }));
        INFO(name);
        scripted_fleet fleet(bytes);
        CHECK(fleet.confirm().starts_with("HTTP/1.1 503"));
        THEN("the log says what the refusal rests on")
        {
            CHECK(fleet.logs("event=attempt_not_run id=1 upstream=scripted"));
        }
    }
}
