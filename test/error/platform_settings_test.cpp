// Guards against a daemon that starts on a damaged settings file: a missing or invalid field must
// be an error that names the field and the file, never a silent default.
#include "settings_file.hpp"

#include <catch2/catch.hpp>

using namespace guavashed;
using namespace guavashed::platform;

namespace
{

std::string const file_text = R"(node_name=core-north-a-1
role=my-core
serves=control_plane,directory
ip=10.1.0.12
zone=north-a
region=north
zones.north-a=north
zones.south-a=south
listen.control=10.1.0.12:8166
listen.directory=10.1.0.12:8164
internal_ports=7720,7735
seeds=10.1.0.12:8166,10.2.0.42:8166
bootstrap=true
limits.max_fds=4096
limits.link_mbps=3.2
data_dir=/data/my-core
heartbeat_ms=1500
bounds=retry_budget=0.2,budget_extra=64,ttl_max_s=5,grace_s=6,strict_revoke=true,revoke_ms=4000,quota_window_s=5,quota_overshoot=0.1,quota_slack=20,max_region_shift=0.2
a.field.of.tomorrow=1
)";

result<platform_settings> read(std::string const& text)
{
    auto const fields = read_fields(text, "boot.conf");
    if (!fields)
        return fields.error();
    return read_settings(fields.value(), "boot.conf");
}

std::string without(std::string const& line_start)
{
    auto const from = file_text.find("\n" + line_start) + 1;
    auto const to = file_text.find('\n', from);
    return file_text.substr(0, from) + file_text.substr(to + 1);
}

} // namespace

TEST_CASE("the fields of the platform's settings file are read")
{
    auto const settings = read(file_text);
    REQUIRE(settings);
    platform_settings const& out = settings.value();
    CHECK(out.serves_control_plane);
    CHECK(out.serves_lookups);
    CHECK_FALSE(out.serves_callers);
    CHECK(out.regions.at(failure_domain_name("south-a")) == region_name("south"));
    CHECK(out.bootstrap);
    CHECK(out.retry_extra == 64);
    CHECK(gateway_settings_of(out).link_bytes_per_s == Approx(400000));
    CHECK(gateway_settings_of(out).max_region_shift == Approx(0.2));
    // The file lists seeds with their operator ports; their peer port is the first internal port.
    REQUIRE(out.seeds.size() == 2);
    CHECK(out.seeds[1] == endpoint_text("10.2.0.42:7720"));

    registry_settings const role = registry_settings_of(out);
    CHECK(role.peer_listen == endpoint_text("10.1.0.12:7720"));
    CHECK(role.founding);
    CHECK(role.lookup_cache_time <= std::chrono::seconds(5));
    CHECK(role.quota.window_s == 5);
    CHECK(role.quota.slack == 20);
    CHECK(gateway_settings_of(out).key_lease.strict);
    CHECK(gateway_settings_of(out).key_lease.revoke == milliseconds(4000));
    CHECK(gateway_settings_of(out).quota.overshoot == Approx(0.1));
}

TEST_CASE("deployments whose settings name neither revocation nor limits have none")
{
    auto const settings = read(without("bounds") + "bounds=grace_s=6,revoke_ms=4000\n");
    REQUIRE(settings);
    CHECK_FALSE(gateway_settings_of(settings.value()).key_lease.strict);
    CHECK(gateway_settings_of(settings.value()).quota.window_s == 0);
    CHECK(registry_settings_of(settings.value()).quota.window_s == 0);
}

TEST_CASE("an invalid settings file is refused with an error that names field and file")
{
    auto const broken = GENERATE(
        std::pair(without("node_name"), std::string("node_name")),
        std::pair(without("listen.control"), std::string("listen.control")),
        std::pair(without("data_dir"), std::string("data_dir")),
        std::pair(without("heartbeat_ms") + "heartbeat_ms=-4\n", std::string("heartbeat_ms")),
        std::pair(without("internal_ports") + "internal_ports=77\n", std::string("internal_ports")),
        std::pair(without("internal_ports") + "internal_ports=7,99999\n",
                  std::string("internal_ports")),
        std::pair(without("listen.control") + "listen.control=here:1\n",
                  std::string("listen.control")),
        std::pair(without("bounds") + "bounds=retry_budget=much\n", std::string("retry_budget")),
        std::pair(without("bounds") + "bounds=strict_revoke=yes\n", std::string("strict_revoke")),
        std::pair(without("bounds") + "bounds=strict_revoke=true,revoke_ms=0\n",
                  std::string("revoke_ms")),
        std::pair(without("limits.link_mbps") + "limits.link_mbps=fast\n",
                  std::string("limits.link_mbps")),
        std::pair(without("serves") + "serves=tea\n", std::string("serves")),
        std::pair(file_text + "a line of text\n", std::string("line 20")));
    auto const settings = read(broken.first);
    REQUIRE_FALSE(settings);
    CHECK_THAT(to_string(settings.error()), Catch::Contains(broken.second));
    CHECK_THAT(to_string(settings.error()), Catch::Contains("boot.conf"));
}

TEST_CASE("a missing settings file is an error, not a default")
{
    CHECK_FALSE(load_settings("/nonexistent/boot.conf"));
}
