// Guards against errors in what the platform's documents say of tenants: a key that is accepted
// where it must not be, or that an error shows, and a fault that no error names.
#include "wire_registry.hpp"

#include <catch2/catch.hpp>

using namespace guavashed;
using namespace guavashed::platform;

namespace
{

/// A document with one route and `more` fields behind it.
std::string document(std::string const& more, std::string const& route_more = "")
{
    return R"({"version":"r4","base_version":"r3","routes":{"check":{"host":"a.example",
        "path_prefix":"/","route_type":"safe","timeout_ms":900,"max_attempts":1,"priority":1,
        "service":"s")" +
           route_more + R"(}},"services":{"s":{}})" + more + "}";
}

std::string const two_tenants = R"(,"tenants":{"acme":{"api_keys":["hush-1","hush-2"],"priority":0,
    "rate_per_s":895,"burst":40.5,"allowed_regions":["north"]},"birch":{"api_keys":["hush-3"]}})";

} // namespace

SCENARIO("the table of tenants is read")
{
    wire_registry const wire;
    GIVEN("a document without the table, or with null in its place")
    {
        std::string const more = GENERATE("", ",\"tenants\":null");
        auto const decoded = wire.decode(document(more, ",\"public\":true"));
        REQUIRE(decoded);
        CHECK(decoded.value().access == access_config());
    }
    GIVEN("an empty table, which leaves no valid key")
    {
        auto const decoded = wire.decode(document(",\"tenants\":{}", ",\"public\":true"));
        REQUIRE(decoded);
        CHECK(decoded.value().access.requires_key);
        CHECK(decoded.value().access.public_routes == std::vector<std::string>{"check"});
    }
    GIVEN("two tenants")
    {
        auto const decoded = wire.decode(document(two_tenants));
        REQUIRE(decoded);
        auto const& access = decoded.value().access;
        REQUIRE(access.workspaces.size() == 2);
        auto const& acme = access.workspaces[0];
        CHECK(acme.name == workspace_name("acme"));
        CHECK(acme.keys == std::vector{digest_of("hush-1"), digest_of("hush-2")});
        CHECK(acme.priority == 0);
        CHECK(acme.rate_per_s == 895);
        CHECK(acme.burst == 40.5);
        CHECK(acme.regions == std::vector{region_name("north")});
        auto const& birch = access.workspaces[1];
        CHECK_FALSE(birch.priority);
        CHECK_FALSE(birch.is_limited());
        CHECK(access.public_routes.empty());
        THEN("the document that operators read back has the keys as they were put")
        {
            CHECK_THAT(decoded.value().document, Catch::Contains("hush-2"));
        }
    }
    GIVEN("a priority of null")
    {
        auto const decoded =
            wire.decode(document(R"(,"tenants":{"a":{"api_keys":["k"],"priority":null}})"));
        REQUIRE(decoded);
        CHECK_FALSE(decoded.value().access.workspaces[0].priority);
    }
    GIVEN("an entry at fault")
    {
        auto const broken = GENERATE(
            std::pair(R"({"acme":{}})", "api_keys"),
            std::pair(R"({"acme":{"api_keys":"hush-1"}})", "api_keys"),
            std::pair(R"({"acme":{"api_keys":["hush-1",7]}})", "api_keys"),
            std::pair(R"({"acme":{"api_keys":["hush-1",""]}})", "position 1 is empty"),
            std::pair(R"({"acme":{"api_keys":["hush-1","hush-1"]}})", "position 1"),
            std::pair(R"({"b":{"api_keys":["hush-1"]},"acme":{"api_keys":["hush-1"]}})", "acme"),
            std::pair(R"({"acme":{"api_keys":["hush-1"],"rate_per_s":-1}})", "rate"),
            std::pair(R"({"acme":{"api_keys":["hush-1"],"rate_per_s":"9"}})", "rate_per_s"),
            std::pair(R"({"acme":{"api_keys":["hush-1"],"burst":-0.5}})", "burst"),
            std::pair(R"({"acme":{"api_keys":["hush-1"],"burst":true}})", "burst"),
            std::pair(R"({"acme":{"api_keys":["hush-1"],"priority":-1}})", "priority"),
            std::pair(R"({"acme":{"api_keys":["hush-1"],"allowed_regions":"n"}})",
                      "allowed_regions"),
            std::pair(R"({"acme":["hush-1"]})", "not an object"), std::pair("[]", "tenants"));
        auto const decoded = wire.decode(document(std::string(",\"tenants\":") + broken.first));
        REQUIRE_FALSE(decoded);
        std::string const text = to_string(decoded.error());
        CHECK_THAT(text, Catch::Contains(broken.second) && !Catch::Contains("hush"));
    }
}

SCENARIO("a patch changes tenants by name")
{
    wire_registry const wire;
    std::string const head = R"({"version":"r5","base_version":"r4",)";
    auto const merged = [&](std::string const& current, std::string const& change)
    { return wire.merge(current, head + change + "}"); };

    GIVEN("a removed tenant and one with a new key in place of its keys")
    {
        auto const out = merged(document(two_tenants),
                                R"("upsert":{"tenants":{"birch":{"api_keys":["hush-9"]}}},
                      "remove":{"tenants":["acme"]})");
        REQUIRE(out);
        auto const& access = out.value().access;
        REQUIRE(access.workspaces.size() == 1);
        CHECK(access.workspaces[0].keys == std::vector{digest_of("hush-9")});
    }
    GIVEN("the removal of the last tenant")
    {
        auto const out = merged(document(two_tenants), R"("remove":{"tenants":["acme","birch"]})");
        REQUIRE(out);
        THEN("keys are required as before")
        {
            CHECK(out.value().access.requires_key);
            CHECK(out.value().access.workspaces.empty());
        }
    }
    GIVEN("the first tenant of a document without the table")
    {
        std::string const more = GENERATE("", ",\"tenants\":null");
        auto const out =
            merged(document(more), R"("upsert":{"tenants":{"acme":{"api_keys":["hush-1"]}}})");
        REQUIRE(out);
        CHECK(out.value().access.requires_key);
    }
    GIVEN("a key that another tenant has")
    {
        auto const out = merged(document(two_tenants),
                                R"("upsert":{"tenants":{"cedar":{"api_keys":["hush-3"]}}})");
        REQUIRE_FALSE(out);
        CHECK_THAT(to_string(out.error()), !Catch::Contains("hush"));
    }
}

// A download may run more than once, and only its caller limits its time.
TEST_CASE("a route of type download is idempotent and needs no timeout")
{
    std::string text = document("");
    auto const type = text.find("\"safe\"");
    text.replace(type, 6, "\"download\"");
    std::uint32_t timeout_ms = 900;
    SECTION("with a timeout") {}
    SECTION("without one, the longest wait for a caller that states no deadline holds")
    {
        text.replace(text.find("\"timeout_ms\":900,"), 17, "");
        timeout_ms = 30000;
    }
    auto const decoded = wire_registry().decode(text);
    REQUIRE(decoded);
    CHECK(decoded.value().config.routes[0].idempotent);
    CHECK(decoded.value().config.routes[0].timeout_ms == timeout_ms);
}
