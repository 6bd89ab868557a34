/// \file
/// Defines drain_schedule, the times of a planned stop of an entry host.
#pragma once

#include "base/instant.hpp"

#include <algorithm>

namespace guavashed
{

/// The steps of a planned stop, in their order.
struct drain_schedule
{
    /// Requests that arrive from then on are refused.
    instant refuse_from = instant::max();
    /// Requests that are unanswered then get an answer of this host's own.
    instant answer_by = instant::max();
    /// The last connections are closed, and the process ends.
    instant end_by = instant::max();
};

/// Retry-After of requests that a leaving host refuses, in milliseconds: the hosts that take over
/// are ready already.
inline constexpr double leaving_retry_after_ms = 100;

/// Plans the stop of a process that is killed `grace` after `requested_at`. Thread safe; no
/// preconditions.
constexpr drain_schedule plan_drain(instant requested_at, milliseconds grace)
{
    // Callers cache look-up answers for a while, and call hosts that have just left them.
    constexpr milliseconds max_accept_window{2800};
    constexpr int accept_percent = 47;
    constexpr int answer_percent = 90;
    // The rest covers the end of the process itself.
    constexpr int end_percent = 96;
    return {requested_at + std::min(max_accept_window, grace * accept_percent / 100),
            requested_at + grace * answer_percent / 100, requested_at + grace * end_percent / 100};
}

} // namespace guavashed
