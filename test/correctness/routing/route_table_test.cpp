// Tests of route lookup, of the traffic split, and of configuration validation.
#include "routing/route_table.hpp"
#include "routing_support.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace guavashed;

// Guards against sending a request to the route of a shorter prefix, of a path that only starts
// with the same letters, or of another host.
TEST_CASE("a request matches the route of its host with the longest path prefix")
{
    routing_config config = roster_config();
    route_config inner = roster_route();
    inner.name = "inner";
    inner.path_prefix = "/roster/crews/";
    config.routes.push_back(inner);
    route_table const table(config);

    CHECK(table.find("roster.example", "/roster/7")->name == "checks");
    CHECK(table.find("roster.example", "/roster/crews/7")->name == "inner");
    CHECK(table.find("roster.example:8080", "/roster/7")->name == "checks");
    CHECK(table.find("roster.example", "/rosters") == nullptr);
    CHECK(table.find("other.example", "/roster/7") == nullptr);
}

// Guards against a traffic split that deviates from the weights.
TEST_CASE("the services of a route get requests in proportion to their weights")
{
    routing_config config = roster_config();
    config.services.push_back({service_name("other"), "", 0, 0, 0});
    config.routes[0].parts = {{service_name("roster"), 90}, {service_name("other"), 10}};
    route_table table(config);
    route_config const& route = *table.find("roster.example", "/roster/1");
    std::map<std::string, int> requests;
    for (int i = 0; i < 200; ++i)
        ++requests[table.next_service(route).value()];
    CHECK(requests["roster"] == 180);
    CHECK(requests["other"] == 20);
}

// Guards against applying a configuration that routes cannot work with, and against an error that
// does not tell the operator which field to correct.
TEST_CASE("validation of an invalid configuration names the item and the field")
{
    routing_config config = roster_config();
    route_config& route = config.routes[0];
    std::string expected;

    SECTION("a maximum of 0 attempts")
    {
        route.max_attempts = 0;
        expected = "attempts";
    }
    SECTION("a service that does not exist")
    {
        route.parts[0].service = service_name("nowhere");
        expected = "nowhere";
    }
    SECTION("a negative weight")
    {
        route.parts[0].weight = -1;
        expected = "weight";
    }
    SECTION("a prefix without slashes")
    {
        route.path_prefix = "roster";
        expected = "prefix";
    }
    SECTION("two routes with the same host and prefix")
    {
        route_config twin = route;
        twin.name = "twin";
        config.routes.push_back(twin);
        expected = "same host and prefix";
    }
    auto const checked = validate(config);
    REQUIRE_FALSE(checked);
    CHECK_THAT(to_string(checked.error()), Catch::Contains(expected));
}
