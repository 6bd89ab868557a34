// Guards against a caller that poses as another workspace towards upstreams, and against a key that
// reaches an upstream or is read where none is meant.
#include "wire_calls.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace guavashed;
using namespace guavashed::platform;

namespace
{

http_request keyed_request(std::vector<http_field> fields)
{
    http_request request;
    request.method = "GET";
    request.target = "/";
    request.fields = std::move(fields);
    return request;
}

} // namespace

SCENARIO("an upstream learns the workspace from the entry host alone, and no key")
{
    wire_calls const wire;
    http_request const request = keyed_request(
        {{"Host", "a"}, {"api-key", "hush-1"}, {"x-guavashed-TENANT", "forged"}, {"X-Kept", "1"}});
    upstream_name const target("i-7f");
    GIVEN("a caller whose key was found")
    {
        workspace_name const acme("acme");
        auto const out = wire.forward(request, target, 100, {true, &acme});
        CHECK(out.field("Api-Key").empty());
        CHECK(out.field("X-Guavashed-Tenant") == "acme");
        CHECK(out.field("X-Kept") == "1");
        CHECK(std::count_if(out.fields.begin(), out.fields.end(),
                            [](http_field const& field) { return field.value == "forged"; }) == 0);
    }
    GIVEN("a public route")
    {
        auto const out = wire.forward(request, target, 100, {true, nullptr});
        CHECK(out.field("Api-Key").empty());
        CHECK(out.field("X-Guavashed-Tenant").empty());
    }
    GIVEN("a configuration without tenants, under which the fields mean nothing")
    {
        auto const out = wire.forward(request, target, 100, {});
        CHECK(out.field("Api-Key") == "hush-1");
        CHECK(out.field("X-Guavashed-Tenant") == "forged");
    }
}

TEST_CASE("a request has a key only if exactly one field states one")
{
    wire_calls const wire;
    CHECK(wire.read_call(keyed_request({{"API-KEY", "hush-1"}})).key == digest_of("hush-1"));
    CHECK_FALSE(wire.read_call(keyed_request({})).key);
    CHECK_FALSE(wire.read_call(keyed_request({{"Api-Key", ""}})).key);
    CHECK_FALSE(wire.read_call(keyed_request({{"Api-Key", "hush-1"}, {"api-key", "hush-1"}})).key);
}
