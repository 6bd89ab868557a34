/// \file
/// Defines membership_planner, which decides on members and voters of the control group.
#pragma once

#include "base/instant.hpp"
#include "control/raft.hpp"
#include "fleet/view_messages.hpp"

#include <map>
#include <optional>
#include <string>

namespace guavashed
{

/// The last greeting of a control host, and when it arrived.
struct known_control
{
    control_greeting greeting;
    instant received_at;
};

/// One membership change, with its reason for the log.
struct membership_step
{
    raft_membership next;
    host_name host;
    std::string reason;
};

/// Used on the leader only; each step changes one voter. Thread safety: none.
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
