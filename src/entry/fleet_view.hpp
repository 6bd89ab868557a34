/// \file
/// Defines fleet_view, an entry host's picture of the other entry hosts.
#pragma once

#include "base/instant.hpp"
#include "control/fleet_messages.hpp"

#include <vector>

namespace guavashed
{

/// Rows lag by about a second and may be stale for longer when control is silent; whoever uses them
/// treats them as hints and stays within its own shares. Thread safety: none.
class fleet_view
{
public:
    /// Applies what control sent; returns true when hosts came, went or changed phase.
    bool apply(view_push const& push);
    /// Applies new loads; digests of rows that are not in view are ignored.
    void apply(load_push const& push);
    /// The row of that host, or null.
    host_row const* find(host_name const& host) const;
    std::vector<host_row> const& rows() const { return rows_; }

private:
    bool upsert_row(host_row const& row);
    void update_row_numbers(view_push const& push);

    std::vector<host_row> rows_;
    /// Host for each of the sender's numbers.
    std::vector<host_name> hosts_by_number_;
};

/// The host's load for that service, or null. Thread safe.
service_load const* find_load(host_row const& row, service_name const& service);

/// Hash of an id that is the same on each host. Thread safe.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Mixes two hashes, for rendezvous hashing. Thread safe.
std::uint64_t mix_hash(std::uint64_t left, std::uint64_t right);

} // namespace guavashed
