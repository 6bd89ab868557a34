// Tests the keys of workspaces with the platform daemon as real processes.
#include "fleet_options.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

using namespace fleet_test;
using guavashed::http_request;

namespace
{

constexpr unsigned entries = 2;
/// Within which a configuration must be in force on all entry hosts.
constexpr int config_apply_ms = 3000;

platform_fleet_options options()
{
    platform_fleet_options out = fleet_options("platform-access", 24900);
    out.entries = entries;
    out.upstreams = 2;
    return out;
}

http_request request(std::string const& id, std::string const& path,
                     std::vector<guavashed::http_field> fields)
{
    http_request out;
    out.target = path;
    out.fields = std::move(fields);
    out.fields.push_back({"Host", "roster.example"});
    out.fields.push_back({"X-Guavashed-Request-Id", id});
    return out;
}

std::string patch(std::uint64_t base, std::string const& change)
{
    return "{\"version\":\"r" + std::to_string(base + 1) + "\",\"base_version\":\"r" +
           std::to_string(base) + "\",\"upsert\":" + change + "}";
}

/// Sends requests with that key until both entry hosts answer with `status`; false if they don't.
bool await_status(platform_fleet& fleet, std::string const& key, unsigned status)
{
    auto const until = guavashed::instant::clock::now() + guavashed::milliseconds(config_apply_ms);
    for (unsigned entry = 0; entry < entries;)
    {
        if (fleet.request_entry(entry, request("probe", "/check/1", {{"Api-Key", key}})) == status)
            ++entry;
        else if (guavashed::instant::clock::now() > until)
            return false;
        else
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

/// What upstreams saw of the caller's access in that request.
std::vector<std::string> seen_by_upstream(platform_fleet const& fleet, std::string const& id)
{
    for (auto const& record : fleet.records())
        for (auto const& arrival : record.arrivals)
            if (arrival.id == id)
                return arrival.access_fields;
    return {"no upstream got the request"};
}

/// Reads the log until it contains `text`, since processes write their lines a little later than
/// they answer; returns what was read last.
std::string await_log(platform_fleet& fleet, std::string const& process, std::string const& text)
{
    auto const until = guavashed::instant::clock::now() + guavashed::milliseconds(2000);
    std::string log = fleet.log_of(process);
    while (log.find(text) == std::string::npos && guavashed::instant::clock::now() < until)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        log = fleet.log_of(process);
    }
    return log;
}

} // namespace

// Guards against a caller that is served without a valid key, one that poses as another workspace,
// a removed key that stays in use, and a key that gets to an upstream or into a log.
SCENARIO("callers are served by the keys of their workspaces")
{
    platform_fleet fleet(options());
    REQUIRE(fleet.start());
    std::vector<std::string> const as_sent{"Api-Key: hush-1"};
    REQUIRE(fleet.request_entry(0, request("before", "/check/1", {{"Api-Key", "hush-1"}})) == 200);
    CHECK(seen_by_upstream(fleet, "before") == as_sent);

    std::string const tenants = R"({"routes":{"open":{"host":"roster.example",
        "path_prefix":"/open/","route_type":"safe","timeout_ms":1000,"max_attempts":2,
        "service":"roster","public":true}},"tenants":{"acme":{"api_keys":["hush-1","hush-2"]},
        "birch":{"api_keys":["hush-3"],"allowed_regions":["elsewhere"]}}})";
    REQUIRE(fleet.request_control(0, "PATCH", "/v1/config", patch(1, tenants)) == 200);
    REQUIRE(await_status(fleet, "unknown", 401));

    for (unsigned entry = 0; entry < entries; ++entry)
    {
        std::string const id = "q" + std::to_string(entry);
        auto const status = [&](std::string const& name, std::string const& path,
                                std::vector<guavashed::http_field> fields)
        { return fleet.request_entry(entry, request(id + name, path, std::move(fields))); };

        CHECK(status("known", "/check/1", {{"Api-Key", "hush-1"}}) == 200);
        CHECK(seen_by_upstream(fleet, id + "known") ==
              std::vector<std::string>{"X-Guavashed-Tenant: acme"});
        CHECK(status("forged", "/check/1",
                     {{"Api-Key", "hush-2"}, {"X-Guavashed-Tenant", "birch"}}) == 200);
        CHECK(seen_by_upstream(fleet, id + "forged") ==
              std::vector<std::string>{"X-Guavashed-Tenant: acme"});

        CHECK(status("none", "/check/1", {{"X-Guavashed-Tenant", "acme"}}) == 401);
        CHECK(status("two", "/check/1", {{"Api-Key", "hush-1"}, {"Api-Key", "hush-1"}}) == 401);
        CHECK(status("nowhere", "/nowhere/", {}) == 404);
        // No upstream is in the one region that the workspace may use.
        CHECK(status("region", "/check/1", {{"Api-Key", "hush-3"}}) == 503);

        CHECK(status("open", "/open/1", {{"Api-Key", "any"}, {"X-Guavashed-Tenant", "x"}}) == 200);
        CHECK(seen_by_upstream(fleet, id + "open").empty());
    }

    CHECK(fleet.request_control(1, "PATCH", "/v1/config",
                                patch(2, R"({"tenants":{"cedar":{"api_keys":["hush-3"]}}})")) ==
          400);
    REQUIRE(fleet.request_control(1, "PATCH", "/v1/config",
                                  patch(2, R"({"tenants":{"acme":{"api_keys":["hush-2"]}}})")) ==
            200);
    CHECK(await_status(fleet, "hush-1", 401));
    CHECK(await_status(fleet, "hush-2", 200));

    for (unsigned i = 0; i < fleet.options().controls; ++i)
        CHECK(fleet.log_of(fleet.control_name(i)).find("hush") == std::string::npos);
    for (unsigned i = 0; i < entries; ++i)
    {
        std::string const log = await_log(fleet, fleet.entry_name(i), "workspace=acme");
        CHECK(log.find("workspace=acme") != std::string::npos);
        CHECK(log.find("hush") == std::string::npos);
    }
}
