/// \file
/// Defines raft_role, the state machine of a replica's role.
#pragma once

#include <cstdint>
#include <memory>

namespace guavashed
{

enum class raft_role_state : std::uint8_t
{
    follower,
    pre_candidate,
    candidate,
    leader
};

enum class raft_role_event : std::uint8_t
{
    election_due,
    pre_votes_won,
    votes_won,
    step_down
};

/// Returns the role's name for logs and answers. Thread safe.
char const* to_string(raft_role_state state);

/// Thread safety: none.
class raft_role
{
public:
    raft_role();
    ~raft_role();
    raft_role(raft_role&&) noexcept;
    raft_role& operator=(raft_role&&) noexcept;

    /// Applies an event. An event without a transition from the current role fails an invariant.
    void fire(raft_role_event event);
    raft_role_state state() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

} // namespace guavashed
