/// \file
/// Defines membership_planner, which decides who joins, leaves and votes in the control group.
#pragma once

#include "base/instant.hpp"
#include "control/raft.hpp"
#include "fleet/view_messages.hpp"

#include <map>
#include <optional>
#include <string>

namespace guavashed
{

/// What a control host last said of itself, and when.
struct known_control
{
    control_greeting greeting;
    instant received_at;
};

/// One step of change, and why.
struct membership_step
{
    raft_membership next;
    host_name host;
    std::string reason;
};

/// Decides on the leader only; one voter changes at a time. Thread safety: none.
class membership_planner
{
public:
    /// Precondition: the replica leads and its membership is settled.
    std::optional<membership_step> next_step(raft const& replica,
                                             std::map<host_name, known_control> const& known,
                                             instant now) const;

private:
    std::optional<membership_step> promote(raft const& replica, instant now) const;
    std::optional<membership_step> replace_disk(raft const& replica,
                                                std::map<host_name, known_control> const& known,
                                                instant now) const;
    std::optional<membership_step> add_member(raft const& replica,
                                              std::map<host_name, known_control> const& known,
                                              instant now) const;
};

} // namespace guavashed
