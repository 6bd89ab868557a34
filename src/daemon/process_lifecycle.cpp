// Implements the process life cycle with Boost.MSM.
#include "daemon/process_lifecycle.hpp"

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

struct started
{
};
struct stop_requested
{
};
struct drained
{
};
struct failed
{
};

struct lifecycle_definition : msm::front::state_machine_def<lifecycle_definition>
{
    struct starting : msm::front::state<>
    {
    };
    struct serving : msm::front::state<>
    {
    };
    struct draining : msm::front::state<>
    {
    };
    struct stopped : msm::front::state<>
    {
    };
    using initial_state = starting;

    // clang-format off
    struct transition_table : mpl::vector<
        Row<starting, started,        serving,  none, none>,
        Row<starting, stop_requested, stopped,  none, none>,
        Row<starting, failed,         stopped,  none, none>,
        Row<serving,  stop_requested, draining, none, none>,
        Row<serving,  failed,         stopped,  none, none>,
        Row<draining, drained,        stopped,  none, none>,
        Row<draining, failed,         stopped,  none, none>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
        ++ignored;
    }

    std::uint64_t ignored = 0;
};

using lifecycle_machine = msm::back::state_machine<lifecycle_definition>;

} // namespace

struct process_lifecycle::machine
{
    lifecycle_machine rules;
};

process_lifecycle::process_lifecycle() : machine_(std::make_unique<machine>())
{
    machine_->rules.start();
}
process_lifecycle::~process_lifecycle() = default;

void process_lifecycle::fire(process_event event)
{
    switch (event)
    {
    case process_event::started:
        machine_->rules.process_event(started{});
        break;
    case process_event::stop_requested:
        machine_->rules.process_event(stop_requested{});
        break;
    case process_event::drained:
        machine_->rules.process_event(drained{});
        break;
    case process_event::failed:
        machine_->rules.process_event(failed{});
        break;
    }
}

process_phase process_lifecycle::phase() const
{
    // MSM numbers the states by their order in the transition table, sources before targets; this
    // is the order of process_phase.
    return static_cast<process_phase>(machine_->rules.current_state()[0]);
}

std::uint64_t process_lifecycle::ignored() const
{
    return machine_->rules.ignored;
}

char const* to_string(process_phase phase)
{
    char const* const texts[] = {"starting", "serving", "draining", "stopped"};
    return texts[static_cast<std::size_t>(phase)];
}

} // namespace guavashed
