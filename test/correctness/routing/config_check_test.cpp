// Tests of the check of a configuration before it is sent.
#include "config_report.hpp"
#include "routing/config_check.hpp"
#include "routing_support.hpp"

#include <catch2/catch.hpp>
#include <sstream>

using namespace guavashed;
using namespace guavashed::platform;

namespace
{

std::set<region_name> const regions{region_name("north"), region_name("south")};

checked_config sound_config()
{
    checked_config out{roster_config(), {}};
    workspace_config workspace;
    workspace.name = workspace_name("acme");
    workspace.keys = {{1, 1}, {2, 2}};
    workspace.rate_per_s = 5;
    workspace.burst = 5;
    out.access.requires_key = true;
    out.access.workspaces.push_back(workspace);
    return out;
}

/// The only finding, as "item: detail"; empty if there are none or several.
std::string only_finding(checked_config const& config)
{
    auto const found = check_config(config, regions);
    return found.size() == 1 ? found[0].item + ": " + found[0].detail : "";
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against sending a configuration whose entries have no effect, or the contrary of what the
// operator wants, without a word.
TEST_CASE("entries without effect and contradicting limits are found")
{
    checked_config config = sound_config();
    route_config& route = config.routing.routes[0];
    routed_service& service = config.routing.services[0];
    workspace_config& workspace = config.access.workspaces[0];
    std::string expected;

    SECTION("a sound configuration has none")
    {
        CHECK(check_config(config, regions).empty());
        return;
    }
    SECTION("a host with a port never matches")
    {
        route.host = "roster.example:8080";
        expected = "route checks: host";
    }
    SECTION("a part of weight 0")
    {
        route.parts.push_back({service_name("roster"), 0});
        expected = "route checks: traffic split";
    }
    SECTION("a region that does not exist beside one that does")
    {
        route.regions = {region_name("north"), region_name("nrth")};
        expected = "\"nrth\" is not a region";
    }
    SECTION("regions of a workspace and a route without a common one")
    {
        route.regions = {region_name("north")};
        workspace.regions = {region_name("south")};
        expected = "workspace acme: allowed regions: none is among those of route checks";
    }
    SECTION("a service that no route names")
    {
        config.routing.services.push_back({service_name("spare"), "", 0, 0, 0});
        expected = "service spare: no route names it";
    }
    SECTION("a timeout below the latency objective")
    {
        route.timeout_ms = route.objective_ms - 1;
        expected = "route checks: timeout: 399 ms";
    }
    SECTION("a warm-up time without a rate")
    {
        service.warmup_per_s = 0;
        expected = "service roster: warm-up";
    }
    SECTION("a header limit above the body limit")
    {
        config.routing.limits.max_body_bytes = 1000;
        expected = "limits: header limit";
    }
    SECTION("a header timeout above the idle timeout")
    {
        config.routing.limits.header_timeout_ms = 20000;
        expected = "limits: header timeout";
    }
    SECTION("a burst without a rate")
    {
        workspace.rate_per_s = 0;
        expected = "workspace acme: burst";
    }
    INFO(expected);
    CHECK(contains(only_finding(config), expected));
}

// Guards against a false alarm where the regions of the deployment are not known.
TEST_CASE("regions are only checked where those of the deployment are known")
{
    checked_config config = sound_config();
    config.routing.routes[0].regions = {region_name("west")};
    CHECK(check_config(config, {}).empty());
    CHECK(check_config(config, regions).size() == 2);
}

// Guards against overlooking a change that was not meant, and against showing keys.
TEST_CASE("the difference of two configurations names items and fields")
{
    checked_config const before = sound_config();
    checked_config after = before;
    CHECK(config_difference(before, after).empty());

    SECTION("changed fields, with both values")
    {
        after.routing.routes[0].timeout_ms = 2000;
        after.routing.routes[0].affinity = false;
        CHECK(config_difference(before, after) ==
              std::vector<std::string>{
                  "changed: route checks: affinity: yes -> no; timeout ms: 1000 -> 2000"});
    }
    SECTION("added and removed items")
    {
        after.routing.services.push_back({service_name("spare"), "", 0, 0, 0});
        after.access.workspaces.clear();
        CHECK(config_difference(before, after) ==
              std::vector<std::string>{"removed: workspace acme", "added: service spare"});
    }
    SECTION("keys are counted")
    {
        after.access.workspaces[0].keys = {{2, 2}, {3, 3}, {4, 4}};
        CHECK(config_difference(before, after) ==
              std::vector<std::string>{"changed: workspace acme: keys: 2 added, 1 removed"});
    }
}

// Guards against a check whose exit code says less than its output.
TEST_CASE("a document is reported with a verdict")
{
    std::string const sound =
        R"({"version":"r2","routes":{"r-1":{"host":"a.example","path_prefix":"/x/",
        "route_type":"safe","timeout_ms":1000,"target_latency_ms":400,"service":"s",
        "max_attempts":2}},"services":{"s":{"health_path":"/health"}},"base_version":"r1"})";
    std::string changed = sound;
    changed.replace(changed.find("1000"), 4, "300 ");
    std::ostringstream out;

    SECTION("nothing to report")
    {
        CHECK(report_config(sound, sound, regions, out) == config_verdict::clean);
        CHECK(out.str().empty());
    }
    SECTION("a finding, and a difference from the version in force")
    {
        CHECK(report_config(changed, sound, regions, out) == config_verdict::has_findings);
        CHECK(contains(out.str(), "contradiction: route r-1: timeout"));
        CHECK(contains(out.str(), "changed: route r-1: timeout ms: 1000 -> 300"));
    }
    SECTION("a finding about a workspace")
    {
        std::string with_workspace = sound;
        with_workspace.replace(with_workspace.find("\"base_version\""), 0,
                               R"("tenants":{"acme":{"api_keys":["k1"],"burst":5}},)");
        CHECK(report_config(with_workspace, sound, regions, out) == config_verdict::has_findings);
        CHECK(contains(out.str(), "workspace acme: burst"));
        CHECK(contains(out.str(), "added: workspace acme"));
    }
    SECTION("a document that is not valid")
    {
        CHECK(report_config("{", sound, regions, out) == config_verdict::unusable);
        CHECK(contains(out.str(), "error: "));
    }
    SECTION("a version in force that is not valid")
    {
        CHECK(report_config(sound, "{}", regions, out) == config_verdict::unusable);
    }
    SECTION("a file that does not exist")
    {
        CHECK(report_config_files("/nonexistent/config.json", std::nullopt, regions, out) ==
              config_verdict::unusable);
        CHECK(contains(out.str(), "/nonexistent/config.json"));
    }
}
