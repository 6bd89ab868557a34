/// \file
/// Defines presence_table, the entry hosts that a control host knows to be present.
#pragma once

#include "base/instant.hpp"
#include "control/fleet_messages.hpp"

#include <map>
#include <vector>

namespace guavashed
{

/// Rows are leased: a row that is not renewed until its deadline is gone. A higher incarnation
/// voids a lower one's rows. A host that restarts too often is held back for a while, so that
/// callers and upstreams are not sent to and fro. Thread safety: none.
class presence_table
{
public:
    /// Takes a host's row, from its own session or as another control host passes it on. False when
    /// the row is void: an older life, or a host that is held back.
    bool renew(instant now, host_row const& row, instant lease_until);
    /// Drops rows whose lease has ended; returns their hosts.
    std::vector<host_name> expire(instant now);
    /// Hosts that came, went or changed in more than their loads since `since`, which is moved on.
    view_push changes_since(std::uint64_t& since) const;
    /// Loads of one region's hosts that have changed since `since`, which is moved on.
    load_push loads_since(std::uint64_t& since, region_name const& region) const;
    /// Hosts present in a region.
    std::size_t count_in(region_name const& region) const;
    /// Rows that are present.
    std::vector<host_row> rows() const;
    host_row const* find(host_name const& host) const;
    /// When the host was last present; the clock's start when never.
    instant last_seen(host_name const& host) const;

private:
    struct entry
    {
        host_row row;
        instant lease_until;
        instant last_renewed;
        /// Change counter at the last change of more than loads, and of loads.
        std::uint64_t changed = 0;
        std::uint64_t load_changed = 0;
        std::uint16_t number = 0;
        bool present = false;
        instant incarnation_started;
        std::uint32_t short_uptimes = 0;
        instant hold_down_until;
    };

    void count_restart(instant now, entry& item);

    std::map<host_name, entry> entries_;
    std::uint64_t change_counter_ = 0;
    std::uint16_t next_number_ = 0;
};

} // namespace guavashed
