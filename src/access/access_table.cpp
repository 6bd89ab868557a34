// Lookup of workspaces by the digests of keys.
#include "access/access_table.hpp"

#include <algorithm>

namespace guavashed
{

access_table::access_table(access_config config)
    : requires_key_(config.requires_key), workspaces_(std::move(config.workspaces)),
      public_routes_(std::move(config.public_routes))
{
    std::size_t count = 0;
    for (auto const& workspace : workspaces_)
        count += workspace.keys.size();
    keys_.reserve(count);
    for (std::size_t at = 0; at < workspaces_.size(); ++at)
    {
        for (auto const& key : workspaces_[at].keys)
            keys_.push_back({key, static_cast<std::uint32_t>(at)});
        // Assigning an empty list would keep the memory.
        workspaces_[at].keys = std::vector<key_digest>();
    }
    std::sort(keys_.begin(), keys_.end(),
              [](key_entry const& left, key_entry const& right) { return left.key < right.key; });
    std::sort(public_routes_.begin(), public_routes_.end());
}

bool access_table::is_public(std::string_view route) const
{
    return std::binary_search(public_routes_.begin(), public_routes_.end(), route);
}

bool access_table::has_limits() const
{
    return std::any_of(workspaces_.begin(), workspaces_.end(),
                       [](workspace_config const& item) { return item.is_limited(); });
}

workspace_config const* access_table::find(key_digest const& key) const
{
    auto const at = std::lower_bound(keys_.begin(), keys_.end(), key,
                                     [](key_entry const& left, key_digest const& right)
                                     { return left.key < right; });
    if (at == keys_.end() || at->key != key)
        return nullptr;
    return &workspaces_[at->workspace];
}

} // namespace guavashed
