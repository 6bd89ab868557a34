/// \file
/// Defines fleet_view, an entry host's copy of the state of all entry hosts.
#pragma once

#include "base/instant.hpp"
#include "control/fleet_messages.hpp"

#include <vector>

namespace guavashed
{

/// Rows of the entry hosts, as pushed by a control host.
///
/// Rows lag by about a second, and by more while no control host is reachable. Users must treat
/// them as hints and keep to their own shares of the caps. Thread safety: none.
class fleet_view
{
public:
    /// Applies a push of rows; returns true when hosts were added or removed or when the phase, the
    /// caller endpoint or the failure domain of one changed. Rows of an older incarnation are
    /// ignored.
    bool apply(view_push const& push);
    /// Applies new loads; digests for hosts that are not in view are ignored.
    void apply(load_push const& push);
    /// The row of that host, or null.
    host_row const* find(host_name const& host) const;
    std::vector<host_row> const& rows() const { return rows_; }

private:
    /// Adds or replaces a row; the result is as for apply.
    bool upsert_row(host_row const& row);
    void update_row_numbers(view_push const& push);

    /// Sorted by host name.
    std::vector<host_row> rows_;
    /// Hosts by the row numbers that the sender uses in load digests.
    std::vector<host_name> hosts_by_number_;
};

/// The host's load for that service, or null. Thread safe.
service_load const* find_load(host_row const& row, service_name const& service);

/// Hash of a text that is the same on all hosts and in all processes. Thread safe.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Combines two hashes into a score for rendezvous hashing. Not symmetric. Thread safe.
std::uint64_t mix_hash(std::uint64_t left, std::uint64_t right);

} // namespace guavashed
