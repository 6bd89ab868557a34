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
    /// Since when its greetings have arrived without a long gap.
    instant present_since;
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
    std::optional<membership_step>
    next_step(raft const& replica, std::map<host_name, known_control> const& known, instant now);

private:
    using known_controls = std::map<host_name, known_control>;

    /// Records since when each member without a vote is one.
    void note_learners(raft const& replica, instant now);
    std::optional<membership_step> promote(raft const& replica, instant now) const;
    /// True while a member without a vote may still become a voter soon.
    bool awaits_learner(raft const& replica, instant now) const;
    /// Removes a lost voter for which a learner can take over at once, otherwise a learner.
    std::optional<membership_step> resolve_surplus(raft const& replica, known_controls const& known,
                                                   instant now) const;
    std::optional<membership_step> replace_disk(raft const& replica, known_controls const& known,
                                                instant now) const;
    std::optional<membership_step> add_member(raft const& replica, known_controls const& known,
                                              instant now) const;
    /// Removes the voter that has been unresponsive for longest, or that leaves, if there is one.
    std::optional<membership_step>
    remove_lost_voter(raft const& replica, known_controls const& known, instant now) const;

    log_term term_;
    /// Members without a vote, since when as far as this leader knows.
    std::map<host_name, instant> learner_since_;
};

} // namespace guavashed
