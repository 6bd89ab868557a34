// The replicated state machine of the control group.
#include "control/control_state.hpp"

#include "base/codec.hpp"
#include "base/invariant.hpp"
#include "entry/fleet_view.hpp"

#include <algorithm>
#include <cereal/types/deque.hpp>

namespace guavashed
{
namespace
{

constexpr std::size_t max_history = 1000;
/// Number of operations whose answers are kept: several days of changes at the design size.
constexpr std::size_t max_answers = 10'000;

bool same_shift(shift_config const& a, shift_config const& b)
{
    return a.from == b.from && a.to == b.to;
}

} // namespace

control_answer control_state::apply(control_command const& command)
{
    switch (command.kind)
    {
    case control_command_kind::confirm:
        return confirm(command);
    case control_command_kind::take_seat:
        take_seat(command);
        break;
    case control_command_kind::shift_step:
        step_shift(command);
        break;
    }
    return {};
}

control_answer const* control_state::find_answer(operation_id const& operation) const
{
    auto const at =
        std::find_if(answers_.rbegin(), answers_.rend(),
                     [&](control_answer const& item) { return item.operation == operation; });
    return at == answers_.rend() ? nullptr : &*at;
}

configuration control_state::outcome_of(configuration intent) const
{
    intent.version = config_version(0);
    for (auto& shift : intent.shifts)
    {
        auto const& held = fleet_.config.shifts;
        auto const at =
            std::find_if(held.begin(), held.end(),
                         [&](shift_config const& item) { return same_shift(item, shift); });
        shift.current = at == held.end() ? permille(0) : at->current;
    }
    return intent;
}

control_answer control_state::confirm(control_command const& command)
{
    if (control_answer const* first = find_answer(command.operation))
        return *first;
    control_answer out{command.operation, false, version(), {}};
    if (command.base != intent_version_)
    {
        out.detail = "the plan was made from version " + std::to_string(command.base.value()) +
                     ", but version " + std::to_string(intent_version_.value()) + " is in force";
        if (!history_.empty())
            for (auto const& change : history_.back().changes)
                out.detail += "; since then: " + change;
        record_answer(out);
        return out;
    }
    configuration next = outcome_of(command.config);
    auto changes = describe_changes(fleet_.config, next);
    next.version = fleet_.config.version;
    fleet_.config = std::move(next);
    advance(command.at_ms, "operation " + command.operation.value(), std::move(changes));
    intent_version_ = version();
    out.accepted = true;
    out.version = version();
    record_answer(out);
    return out;
}

void control_state::take_seat(control_command const& command)
{
    seat const& taken = command.taken;
    for (auto const& item : fleet_.seats)
        if (item.host == taken.host && item.region == taken.region)
            return;
    std::erase_if(fleet_.seats, [&](seat const& item)
                  { return item.region == taken.region && item.position == taken.position; });
    std::erase_if(fleet_.seats, [&](seat const& item) { return item.host == taken.host; });
    fleet_.seats.push_back(taken);
    ++seats_version_;
}

void control_state::step_shift(control_command const& command)
{
    for (auto& shift : fleet_.config.shifts)
    {
        if (!same_shift(shift, command.shift) || shift.current == command.shift.current)
            continue;
        std::string const line = "shift from " + shift.from.value() + " to " + shift.to.value() +
                                 " moves from " + std::to_string(shift.current.value()) + " to " +
                                 std::to_string(command.shift.current.value()) + " permille";
        shift.current = command.shift.current;
        advance(command.at_ms, "shift step", {line});
        return;
    }
}

void control_state::advance(std::int64_t at_ms, std::string cause, std::vector<std::string> changes)
{
    fleet_.config.version = config_version(version().value() + 1);
    history_.push_back({version(), at_ms, std::move(cause), std::move(changes)});
    if (history_.size() > max_history)
        history_.pop_front();
}

void control_state::record_answer(control_answer answer)
{
    GUAVASHED_INVARIANT(find_answer(answer.operation) == nullptr)
        << "operation " << answer.operation << " already has a recorded answer";
    answers_.push_back(std::move(answer));
    if (answers_.size() > max_answers)
        answers_.pop_front();
}

std::string control_state::save() const
{
    return encode(*this);
}

result<void> control_state::load(std::string const& bytes)
{
    if (bytes.empty())
    {
        *this = control_state();
        return boost::outcome_v2::success();
    }
    BOOST_OUTCOME_TRY(*this, decode<control_state>(bytes, "snapshot"));
    return boost::outcome_v2::success();
}

std::uint64_t outcome_hash(configuration config)
{
    config.version = config_version(0);
    return stable_hash(encode(config));
}

} // namespace guavashed
