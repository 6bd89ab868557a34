// Guards against malformed or foreign documents: an announcement or configuration that is invalid
// must be refused with the item and field at fault, and never be applied in part.
#include "wire_registry.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace guavashed;
using namespace guavashed::platform;

namespace
{

std::string const whole_config =
    R"({"version":"r7","routes":{"r-1":{"host":"ficu95.example","path_prefix":"/lohu930/",
    "route_type":"safe","timeout_ms":1000,"target_latency_ms":400,"priority":0,
    "traffic_split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],
    "max_attempts":2,"session_affinity":true,"allowed_regions":[]},
    "r-2":{"host":"ficu95.example","path_prefix":"/pufi791/","route_type":"unsafe",
    "timeout_ms":1200,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":2}},
    "services":{"huvo11a":{"health_path":"/health","max_connections":390,"protocol":"h1",
    "tls":false,"warmup_s":3.0,"warmup_per_s":6.9},"wuno96b":{"health_path":"/health"}},
    "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,
    "idle_timeout_ms":15000},"base_version":"r5"})";

std::string const announcement =
    R"({"address":"10.128.0.9:8080","born":1234,"info":{"service":"huvo11a","version":"v1",
    "zone":"north-a","concurrency_limit":4},"status":{"state":"ready","sequence":4,
    "warmup_left_ms":250}})";

http_request call(std::string method, std::string target, std::string body = {})
{
    return http_request{std::move(method), std::move(target), {}, std::move(body)};
}

std::string replaced(std::string text, std::string const& what, std::string const& with)
{
    auto const at = text.find(what);
    REQUIRE(at != std::string::npos);
    return text.replace(at, what.size(), with);
}

} // namespace

TEST_CASE("the fields of an upstream's announcement are read")
{
    wire_registry const wire;
    auto const order = wire.read(call("PUT", "/v1/instances/i-7f", announcement));
    REQUIRE(order);
    auto const& read = std::get<announce_request>(order.value());
    CHECK(read.row.id == upstream_name("i-7f"));
    CHECK(read.row.service == service_name("huvo11a"));
    CHECK(read.row.domain == failure_domain_name("north-a"));
    CHECK(read.row.address == endpoint_text("10.128.0.9:8080"));
    CHECK(read.row.slots == 4);
    CHECK(read.row.born_ms == 1234);
    CHECK_FALSE(read.row.draining);
    CHECK(read.sequence == 4);
    CHECK(read.cold_left_ms == 250);
}

TEST_CASE("an invalid announcement is refused")
{
    wire_registry const wire;
    std::string const body = GENERATE(
        std::string("not json"), std::string("[]"), std::string("{}"),
        replaced(announcement, "\"ready\"", "\"sleeping\""),
        replaced(announcement, "\"ready\"", "7"), replaced(announcement, "\"ready\"", "\"\""),
        replaced(announcement, "10.128.0.9:8080", "10.128.0.9:80800"),
        replaced(announcement, "1234", "18446744073709551615"),
        replaced(announcement, "1234", "1e300"),
        replaced(announcement, "1234", "1" + std::string(400, '0')),
        replaced(announcement, "\"sequence\":4", "\"sequence\":18446744073709551615"),
        replaced(announcement, "\"concurrency_limit\":4", "\"concurrency_limit\":1e999"),
        replaced(announcement, "huvo11a", std::string(1000, 'h')),
        replaced(announcement, "north-a", std::string(1000, 'n')),
        replaced(announcement, "\"info\":",
                 "\"deep\":" + std::string(5000, '[') + std::string(5000, ']') + ",\"info\":"),
        replaced(announcement, "\"concurrency_limit\":4", "\"concurrency_limit\":0"),
        replaced(announcement, "\"concurrency_limit\":4", "\"concurrency_limit\":\"4\""),
        replaced(announcement, "10.128.0.9:8080", "elsewhere"),
        replaced(announcement, "\"sequence\":4,", ""),
        replaced(announcement, "\"service\":\"huvo11a\",", ""),
        replaced(announcement, "\"version\":\"v1\",", ""), replaced(announcement, "\"v1\"", "1"),
        replaced(announcement, "\"v1\"", "null"),
        replaced(announcement, ",\n    \"warmup_left_ms\":250", ""),
        replaced(announcement, "250", "\"250\""), replaced(announcement, "1234", "-1"),
        replaced(announcement, "1234", "\"today\""), announcement.substr(0, 80));
    auto const order = wire.read(call("PUT", "/v1/instances/i-7f", body));
    REQUIRE_FALSE(order);
    CHECK(order.error().code == error_code::invalid_document);
}

TEST_CASE("leaving, evacuation, look-up and configuration requests are read")
{
    wire_registry const wire;
    CHECK(std::get<leave_request>(wire.read(call("DELETE", "/v1/instances/i-7f")).value()).id ==
          upstream_name("i-7f"));
    auto const evacuate = wire.read(call("POST", "/v1/evacuation/north-a"));
    CHECK_FALSE(std::get<evacuate_request>(evacuate.value()).restore);
    auto const restore = wire.read(call("DELETE", "/v1/evacuation/north-a"));
    CHECK(std::get<evacuate_request>(restore.value()).restore);
    auto const lookup = wire.read(call("GET", "/v1/resolve?name=a&region=north&zone=north-a"));
    CHECK(std::get<resolve_request>(lookup.value()).domain == failure_domain_name("north-a"));
    CHECK(
        std::holds_alternative<read_config_request>(wire.read(call("GET", "/v1/config")).value()));
    CHECK_FALSE(wire.read(call("DELETE", "/v1/instances/" + std::string(1000, 'i'))));
    CHECK_FALSE(wire.read(call("POST", "/v1/evacuation/" + std::string(1000, 'z'))));
    CHECK(wire.read(call("GET", "/v1/nothing")).error().code == error_code::unknown_place);
    CHECK(wire.read(call("POST", "/v1/config")).error().code == error_code::unknown_place);
}

TEST_CASE("a complete configuration is decoded")
{
    wire_registry const wire;
    auto const order = wire.read(call("PUT", "/v1/config", whole_config));
    REQUIRE(order);
    CHECK(std::get<configure_request>(order.value()).base == config_version(5));
    auto const decoded = wire.decode(whole_config);
    REQUIRE(decoded);
    routing_config const& config = decoded.value().config;
    CHECK(config.version == config_version(7));
    REQUIRE(config.routes.size() == 2);
    CHECK(config.routes[0].idempotent);
    CHECK(config.routes[0].parts.size() == 2);
    CHECK(config.routes[0].parts[0].weight == 90);
    CHECK_FALSE(config.routes[1].idempotent);
    CHECK(config.routes[1].parts[0].service == service_name("huvo11a"));
    CHECK(config.limits.max_body_bytes == 67108864);
    CHECK(config.find_service(service_name("huvo11a"))->warmup_per_s == Approx(6.9));
}

TEST_CASE("an invalid configuration is refused with an error that names the fault")
{
    wire_registry const wire;
    auto const broken = GENERATE_COPY(
        std::pair(whole_config.substr(0, 300), std::string("not JSON")),
        std::pair(replaced(whole_config, "\"service\":\"huvo11a\",\"weight\":90",
                           "\"service\":\"nowhere\",\"weight\":90"),
                  std::string("nowhere")),
        std::pair(replaced(whole_config, "\"weight\":90", "\"weight\":-1"), std::string("weight")),
        std::pair(replaced(whole_config, "\"max_attempts\":2", "\"max_attempts\":0"),
                  std::string("attempts")),
        std::pair(replaced(whole_config, "/pufi791/", "/lohu930/"), std::string("same host")),
        std::pair(replaced(whole_config, "\"timeout_ms\":1000", "\"timeout_ms\":\"1\""),
                  std::string("timeout_ms")),
        std::pair(replaced(whole_config, "\"version\":\"r7\"", "\"version\":\"seven\""),
                  std::string("version")));
    auto const decoded = wire.decode(broken.first);
    REQUIRE_FALSE(decoded);
    CHECK_THAT(to_string(decoded.error()), Catch::Contains(broken.second));
}

TEST_CASE("a patch changes only the items that it names")
{
    wire_registry const wire;
    auto const merged = wire.merge(whole_config, R"({"version":"r9","base_version":"r7",
        "upsert":{"routes":{"r-3":{"host":"new.example","path_prefix":"/","route_type":"safe",
        "timeout_ms":500,"max_attempts":1,"service":"wuno96b"}}},"remove":{"routes":["r-2"]}})");
    REQUIRE(merged);
    routing_config const& config = merged.value().config;
    CHECK(config.version == config_version(9));
    REQUIRE(config.routes.size() == 2);
    CHECK(config.routes[0].name == "r-1");
    CHECK(config.routes[1].name == "r-3");
    CHECK(config.services.size() == 2);
    // The document that operators read back decodes to the configuration in force.
    CHECK(wire.decode(merged.value().document).value().config == config);

    SECTION("a patch with an invalid result is refused")
    {
        CHECK_FALSE(wire.merge(whole_config, R"({"version":"r9","base_version":"r7",
            "remove":{"services":["wuno96b"]}})"));
    }
}

TEST_CASE("arbitrary bytes give an order or an error with a detail")
{
    rc::prop("for each call",
             [](std::string const& body, std::uint8_t which)
             {
                 wire_registry const wire;
                 std::vector<http_request> const calls{
                     call("PUT", "/v1/instances/i-1", body), call("PUT", "/v1/config", body),
                     call("PATCH", "/v1/config", body), call("GET", "/v1/resolve?" + body)};
                 auto const order = wire.read(calls[which % calls.size()]);
                 // Computed outside of RC_ASSERT, which evaluates both sides of an "or".
                 bool const accepted_or_explained =
                     order.has_value() ? true : !order.error().detail.empty();
                 RC_ASSERT(accepted_or_explained);
                 RC_ASSERT(!wire.decode(body).has_value());
             });
}
