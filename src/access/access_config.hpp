/// \file
/// Defines access_config: the workspaces whose callers may use the routes, their keys and limits.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavashed
{

/// 128-bit digest of a caller's key. Hosts that only compare keys hold digests, which take 16 bytes
/// for a key of any length.
struct key_digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(key_digest const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(high, low);
    }
};

/// Thread safe.
key_digest digest_of(std::string_view key);

/// A workspace: its keys, and what applies to its callers on all routes.
struct workspace_config
{
    workspace_name name;
    std::vector<key_digest> keys;
    /// Replaces the priority of the route; 0 is the highest.
    std::optional<std::uint32_t> priority;
    /// Requests per second of all entry hosts together, and the size of a burst beyond them, in
    /// requests. A rate of 0 is no limit.
    double rate_per_s = 0;
    double burst = 0;
    /// Regions whose upstreams may serve the workspace; empty for all. Binds beside the regions of
    /// the route.
    std::vector<region_name> regions;

    bool is_limited() const { return rate_per_s > 0; }

    bool operator==(workspace_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, keys, priority, rate_per_s, burst, regions);
    }
};

/// Which callers may use the routes of a configuration.
struct access_config
{
    /// Callers need a key; false where the configuration has no table of workspaces.
    bool requires_key = false;
    std::vector<workspace_config> workspaces;
    /// Names of the routes that need no key.
    std::vector<std::string> public_routes;

    bool operator==(access_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(requires_key, workspaces, public_routes);
    }
};

/// Checks names, keys and limits; the error names the workspace and its field. Thread safe.
result<void> validate(access_config const& access);

} // namespace guavashed
