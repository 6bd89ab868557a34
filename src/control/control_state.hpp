/// \file
/// Defines control_state, the replicated state machine: what was accepted, by whom, and the
/// answers.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "control/fleet_messages.hpp"
#include "control/raft_messages.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavashed
{

enum class control_command_kind : std::uint8_t
{
    confirm = 0,
    take_seat = 1,
    shift_step = 2
};

/// One command of the replicated log.
struct control_command
{
    static constexpr std::uint16_t wire_version = 1;

    control_command_kind kind = control_command_kind::confirm;
    operation_id operation;
    /// Version of the intent that the plan was made from.
    config_version base;
    /// What the operator confirmed.
    configuration config;
    seat taken;
    /// The shift whose share in force moves to `shift.current`.
    shift_config shift;
    std::int64_t at_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, operation, base, config, taken, shift, at_ms);
    }
};

/// The answer to one operation; a resend gets the same one.
struct control_answer
{
    operation_id operation;
    bool accepted = false;
    /// Version in force when it was accepted, or that stood in its way.
    config_version version;
    std::string detail;

    bool operator==(control_answer const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(operation, accepted, version, detail);
    }
};

struct history_row
{
    config_version version;
    std::int64_t at_ms = 0;
    std::string cause;
    std::vector<std::string> changes;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, at_ms, cause, changes);
    }
};

/// Thread safety: none; the control duty owns it. The same commands give the same state everywhere.
class control_state
{
public:
    /// Applies a committed command. For `confirm` the answer of its operation.
    control_answer apply(control_command const& command);
    /// The recorded answer of an operation, or null.
    control_answer const* find_answer(operation_id const& operation) const;

    fleet_state const& fleet() const { return fleet_; }
    config_version version() const { return fleet_.config.version; }
    /// Rises with each seat that is taken; seats do not change the configuration's version.
    std::uint64_t seats_version() const { return seats_version_; }
    /// Version at the last operator's change: what a plan is made from.
    config_version intent_version() const { return intent_version_; }
    std::deque<history_row> const& history() const { return history_; }
    raft_membership const& founding() const { return founding_; }
    void found(raft_membership membership) { founding_ = std::move(membership); }

    /// Bytes for a snapshot, and back.
    std::string save() const;
    result<void> load(std::string const& bytes);

    /// What `intent` would become if confirmed now: shifts under way keep their present share.
    configuration outcome_of(configuration intent) const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(fleet_, seats_version_, intent_version_, founding_, history_, answers_);
    }
    static constexpr std::uint16_t wire_version = 1;

private:
    control_answer confirm(control_command const& command);
    void take_seat(control_command const& command);
    void step_shift(control_command const& command);
    void advance(std::int64_t at_ms, std::string cause, std::vector<std::string> changes);
    void record_answer(control_answer answer);

    fleet_state fleet_;
    std::uint64_t seats_version_ = 0;
    config_version intent_version_;
    raft_membership founding_;
    std::deque<history_row> history_;
    std::deque<control_answer> answers_;
};

/// Hash of a configuration without its version: what a plan's outcome is compared by.
std::uint64_t outcome_hash(configuration config);

} // namespace guavashed
