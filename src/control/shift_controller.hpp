/// \file
/// Defines shift_controller, which moves callers between regions step by step, and holds or
/// reverses a shift while the receiving region is overloaded.
#pragma once

#include "base/instant.hpp"
#include "control/configuration.hpp"

#include <map>
#include <optional>
#include <string>

namespace guavashed
{

/// Load of the region that receives the callers.
struct region_load
{
    slot_count slots;
    slot_count in_flight;
    microseconds mean_service{0};
};

/// The next share in force of a shift, and the reason for it.
struct shift_decision
{
    permille current;
    std::string reason;
};

/// Callers that move meet cold caches in the receiving region, so that each step waits until the
/// region serves at its normal service time again. Thread safety: none; only the leader runs it.
class shift_controller
{
public:
    /// The next step of `shift`; none when its share stays as it is. `load` is absent while the
    /// receiving region reports no slots: then the share stays.
    std::optional<shift_decision> decide(instant now, shift_config const& shift,
                                         std::optional<region_load> const& load);
    /// Discards step times and baselines, so that a new leader measures its own.
    void reset() { tracks_.clear(); }

private:
    struct track
    {
        instant next_step;
        /// Mean service time of the receiving region under normal load; 0 until measured.
        double baseline_us = 0;
        /// Consecutive step times at which the receiving region was overloaded.
        std::uint32_t overloaded_checks = 0;
    };

    std::map<std::string, track> tracks_;
};

} // namespace guavashed
