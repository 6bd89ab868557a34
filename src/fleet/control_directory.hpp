/// \file
/// Defines control_directory, which keeps what a control host tells entry hosts of control hosts.
#pragma once

#include "base/instant.hpp"
#include "control/raft_messages.hpp"
#include "fleet/control_status.hpp"
#include "fleet/membership_planner.hpp"

#include <cstdint>
#include <map>

namespace guavashed
{

/// Thread safety: none.
class control_directory
{
public:
    /// Adopts what this host knows now. Losing the leader counts only after longer than an election
    /// takes, so that an election doesn't change the sources of all entry hosts.
    /// `known` holds the other control hosts that were heard lately. Precondition: `now` never
    /// decreases.
    void update(instant now, bool has_leader, raft_membership const& members,
                std::map<host_name, known_control> const& known);

    control_status const& status() const { return status_; }
    /// Incremented by each change of the status; 0 before the first one.
    std::uint64_t epoch() const { return epoch_; }

private:
    control_status status_;
    std::uint64_t epoch_ = 0;
    /// When a leader that is unknown counts as lost.
    instant leader_lost_by_ = instant::max();
};

} // namespace guavashed
