// Writes the configurations that platform_fleet submits.
#include "platform_fleet.hpp"

namespace fleet_test
{

std::string platform_fleet::document(std::uint64_t version, std::string const& upsert) const
{
    std::string const start = "{\"version\":\"r" + std::to_string(version) +
                              "\",\"base_version\":\"r" + std::to_string(accepted_) + "\",";
    if (!upsert.empty())
        return start + "\"upsert\":" + upsert + "}";
    auto const route = [this](char const* prefix, char const* kind)
    {
        return "{\"host\":\"roster.example\",\"path_prefix\":\"" + std::string(prefix) +
               "\",\"route_type\":\"" + kind +
               "\",\"timeout_ms\":" + std::to_string(options_.route_timeout_ms) +
               ",\"target_latency_ms\":400,\"max_attempts\":2,"
               "\"priority\":0,\"session_affinity\":true,\"service\":\"roster\"}";
    };
    std::string unused;
    for (unsigned i = 0; i < options_.unused_routes; ++i)
    {
        std::string const name = "unused-" + std::to_string(i);
        unused += ",\"" + name + "\":" + route(("/" + name + "/").c_str(), "safe");
    }
    std::string const is_public = options_.tenants.empty() ? "" : "\"public\":true,";
    std::string const files =
        options_.file_bytes == 0
            ? ""
            : ",\"files\":{" + is_public + "\"host\":\"roster.example\",\"path_prefix\":\"" +
                  standin::file_prefix +
                  "\",\"route_type\":\"download\",\"target_latency_ms\":400,"
                  "\"max_attempts\":2,\"priority\":0,\"session_affinity\":false,"
                  "\"service\":\"roster\"}";
    // Without workspaces the field says nothing.
    std::string const open_route =
        options_.tenants.empty()
            ? ""
            : ",\"open\":" + route("/open/", "safe").insert(1, "\"public\":true,");
    return start + "\"routes\":{\"check\":" + route("/check/", "safe") +
           ",\"confirm\":" + route("/confirm/", "unsafe") + open_route + files + unused +
           "},\"services\":{\"roster\":{\"health_path\":\"/health\",\"max_connections\":300,"
           "\"warmup_s\":2.0,\"warmup_per_s\":6}}," +
           (options_.tenants.empty() ? "" : "\"tenants\":" + options_.tenants + ",") +
           "\"limits\":{\"max_header_bytes\":16384,"
           "\"max_body_bytes\":" +
           std::to_string(options_.max_body_bytes) +
           ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

} // namespace fleet_test
