/// \file
/// Defines shift_controller, which moves a shift of callers step by step and stops it by itself.
#pragma once

#include "base/instant.hpp"
#include "control/configuration.hpp"

#include <map>
#include <optional>
#include <string>

namespace guavashed
{

/// How the receiving region does.
struct region_load
{
    slot_count slots;
    slot_count in_flight;
    microseconds mean_service{0};
};

/// One decision on a shift: its next share in force, and why.
struct shift_decision
{
    permille current;
    std::string reason;
};

/// A large move meets cold caches: each step waits until the receiver serves in its normal time.
/// Thread safety: none; only the leader runs it.
class shift_controller
{
public:
    /// Next step of `shift`, none when it should stay as it is. `load` is absent while the receiver
    /// is not measured: then nothing moves.
    std::optional<shift_decision> decide(instant now, shift_config const& shift,
                                         std::optional<region_load> const& load);
    /// Forgets timing and normal service times: a new leader measures afresh.
    void reset() { tracks_.clear(); }

private:
    struct track
    {
        instant next_step;
        double baseline_us = 0;
        std::uint32_t overloaded_checks = 0;
    };

    std::map<std::string, track> tracks_;
};

} // namespace guavashed
