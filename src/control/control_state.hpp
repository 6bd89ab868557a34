/// \file
/// Defines control_state, the replicated state machine: the accepted configuration, its history,
/// and the answers to the operators' operations.
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

/// One command in the replicated log; `kind` determines which fields are used.
struct control_command
{
    static constexpr std::uint16_t wire_version = 1;

    control_command_kind kind = control_command_kind::confirm;
    operation_id operation;
    /// confirm: version of the intent from which the plan was made.
    config_version base;
    /// confirm: the intent that the operator confirmed.
    configuration config;
    /// take_seat: the seat and its new holder.
    seat taken;
    /// shift_step: the shift, with the share in force that it moves to as `current`.
    shift_config shift;
    std::int64_t at_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, operation, base, config, taken, shift, at_ms);
    }
};

/// The answer to one operation. An operation that is sent again gets the recorded answer.
struct control_answer
{
    operation_id operation;
    bool accepted = false;
    /// The version that the operation created, or the version in force when it was refused.
    config_version version;
    std::string detail;

    bool operator==(control_answer const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(operation, accepted, version, detail);
    }
};

/// One version, with the time, the cause and the changes that led to it.
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

/// Deterministic: the same commands give the same state on every replica. Thread safety: none; the
/// control event loop owns it.
class control_state
{
public:
    /// Applies a committed command. Returns the operation's answer for `confirm`, else an empty
    /// one.
    control_answer apply(control_command const& command);
    /// The recorded answer to an operation, or null. Valid until the next `apply` or `load`.
    control_answer const* find_answer(operation_id const& operation) const;

    fleet_state const& fleet() const { return fleet_; }
    config_version version() const { return fleet_.config.version; }
    /// Increases with each seat that is taken; seats do not change the configuration's version.
    std::uint64_t seats_version() const { return seats_version_; }
    /// Version of the last change by an operator, to which plans refer. Shift steps do not change
    /// it.
    config_version intent_version() const { return intent_version_; }
    std::deque<history_row> const& history() const { return history_; }
    raft_membership const& founding() const { return founding_; }
    /// Sets the first members of the group.
    void found(raft_membership membership) { founding_ = std::move(membership); }

    /// The state as the bytes of a snapshot.
    std::string save() const;
    /// Replaces the state by that of a snapshot; empty bytes give the initial state. On an error
    /// the state is unchanged.
    result<void> load(std::string const& bytes);

    /// The configuration that `intent` would give if confirmed now. Shifts in progress keep their
    /// current share. The result has version 0.
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

/// Hash of a configuration without its version, by which a plan's outcome is compared. Thread safe.
std::uint64_t outcome_hash(configuration config);

} // namespace guavashed
