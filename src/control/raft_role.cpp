// The transition table of raft_role, built on Boost.MSM.
#include "control/raft_role.hpp"

#include "base/invariant.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace guavashed
{
namespace
{
namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct election_due
{
};
struct pre_votes_won
{
};
struct votes_won
{
};
struct step_down
{
};

struct role_definition : msm::front::state_machine_def<role_definition>
{
    struct follower : msm::front::state<>
    {
    };
    struct pre_candidate : msm::front::state<>
    {
    };
    struct candidate : msm::front::state<>
    {
    };
    struct leader : msm::front::state<>
    {
    };
    using initial_state = follower;

    // clang-format off
    struct transition_table : mpl::vector<
        Row<follower,      election_due,  pre_candidate, none, none>,
        Row<follower,      step_down,     follower,      none, none>,
        Row<pre_candidate, election_due,  pre_candidate, none, none>,
        Row<pre_candidate, pre_votes_won, candidate,     none, none>,
        Row<pre_candidate, step_down,     follower,      none, none>,
        Row<candidate,     election_due,  pre_candidate, none, none>,
        Row<candidate,     votes_won,     leader,        none, none>,
        Row<candidate,     step_down,     follower,      none, none>,
        Row<leader,        step_down,     follower,      none, none>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int state)
    {
        GUAVASHED_INVARIANT(false) << "no transition for the event in replica role " << state;
    }
};

using role_machine = msm::back::state_machine<role_definition>;

} // namespace

char const* to_string(raft_role_state state)
{
    switch (state)
    {
    case raft_role_state::follower:
        return "follower";
    case raft_role_state::pre_candidate:
        return "pre_candidate";
    case raft_role_state::candidate:
        return "candidate";
    case raft_role_state::leader:
        return "leader";
    }
    return "unnamed";
}

struct raft_role::machine
{
    role_machine rules;
};

raft_role::raft_role() : machine_(std::make_unique<machine>())
{
    machine_->rules.start();
}
raft_role::~raft_role() = default;
raft_role::raft_role(raft_role&&) noexcept = default;
raft_role& raft_role::operator=(raft_role&&) noexcept = default;

void raft_role::fire(raft_role_event event)
{
    switch (event)
    {
    case raft_role_event::election_due:
        machine_->rules.process_event(election_due{});
        break;
    case raft_role_event::pre_votes_won:
        machine_->rules.process_event(pre_votes_won{});
        break;
    case raft_role_event::votes_won:
        machine_->rules.process_event(votes_won{});
        break;
    case raft_role_event::step_down:
        machine_->rules.process_event(step_down{});
        break;
    }
}

raft_role_state raft_role::state() const
{
    // MSM numbers the states by first appearance as a source in the table: the enum's order.
    return static_cast<raft_role_state>(machine_->rules.current_state()[0]);
}

} // namespace guavashed
