/// \file
/// Defines presence_table, a control host's table of the entry hosts that are present.
#pragma once

#include "base/instant.hpp"
#include "control/fleet_messages.hpp"

#include <map>
#include <vector>

namespace guavashed
{

/// Rows are leased: a row that is not renewed before its lease expires is removed. Rows of an older
/// incarnation of a host are ignored. A host that restarts too often is held down: it is published
/// as starting for a while, so that callers and upstreams are not moved back and forth. Thread
/// safety: none.
class presence_table
{
public:
    /// Stores a host's row and extends its lease. The row comes from the host's own session or was
    /// shared by another control host. False when the row is from an older incarnation.
    bool renew(instant now, host_row const& row, instant lease_until);
    /// Removes rows whose lease has expired; returns their hosts.
    std::vector<host_name> expire(instant now);
    /// Hosts that appeared, disappeared or changed in more than their loads after change `since`,
    /// which is advanced to the newest change. All present hosts when `since` is 0.
    view_push changes_since(std::uint64_t& since) const;
    /// Loads of one region's hosts that changed after change `since`, which is advanced likewise.
    load_push loads_since(std::uint64_t& since, region_name const& region) const;
    /// Number of hosts present in a region.
    std::size_t count_in(region_name const& region) const;
    /// The rows of all present hosts.
    std::vector<host_row> rows() const;
    /// The row of a present host, or null. Valid until the next `renew`.
    host_row const* find(host_name const& host) const;
    /// When the host's row was last renewed; the clock's epoch when never.
    instant last_seen(host_name const& host) const;

private:
    struct entry
    {
        host_row row;
        instant lease_until;
        instant last_renewed;
        /// Value of the change counter at the last change of more than loads, and at the last
        /// change of any field.
        std::uint64_t changed = 0;
        std::uint64_t load_changed = 0;
        /// The number by which load digests refer to the row.
        std::uint16_t number = 0;
        bool present = false;
        instant incarnation_started;
        /// Consecutive incarnations that ended within a short uptime.
        std::uint32_t short_uptimes = 0;
        instant hold_down_until;
    };

    void count_restart(instant now, entry& item);

    std::map<host_name, entry> entries_;
    std::uint64_t change_counter_ = 0;
    std::uint16_t next_number_ = 0;
};

} // namespace guavashed
