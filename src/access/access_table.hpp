/// \file
/// Defines access_table, by which an entry host finds the workspace of a caller's key.
#pragma once

#include "access/access_config.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace guavashed
{

/// Lookup table of one access_config. It holds the digest of each key once, in one sorted array, so
/// that a workspace with thousands of keys takes little memory. Thread safety: all methods of a
/// constructed table are thread safe.
class access_table
{
public:
    /// Precondition: `config` is valid.
    explicit access_table(access_config config);

    bool requires_key() const { return requires_key_; }
    /// Whether some workspace has a limit.
    bool has_limits() const;
    /// Whether requests of that route need no key.
    bool is_public(std::string_view route) const;
    /// The workspace with that key, which lives as long as the table; null if there is none.
    workspace_config const* find(key_digest const& key) const;

    std::size_t keys() const { return keys_.size(); }
    std::size_t workspaces() const { return workspaces_.size(); }
    std::size_t public_routes() const { return public_routes_.size(); }

private:
    struct key_entry
    {
        key_digest key;
        /// Index in `workspaces_`.
        std::uint32_t workspace = 0;
    };

    bool requires_key_ = false;
    /// Sorted by key.
    std::vector<key_entry> keys_;
    /// Their `keys` are empty: `keys_` has them.
    std::vector<workspace_config> workspaces_;
    /// Sorted.
    std::vector<std::string> public_routes_;
};

} // namespace guavashed
