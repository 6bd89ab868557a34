/// \file
/// Defines retry_hint_ms, the Retry-After of a refusal.
#pragma once

#include <cstdint>

namespace guavashed
{

/// What a refused caller is to wait for.
struct refusal_facts
{
    /// Predicted time until a request like it would be accepted, in milliseconds; not positive
    /// where there is no prediction.
    double expected_ms = 0;
    /// Time that the caller still waits for an answer, in milliseconds.
    double left_ms = 0;
};

/// Computes when a refused caller should come back, in milliseconds. It answers bursts and
/// restarts, in which many callers are refused within a moment: one that comes back before the
/// cause has passed uses up its retry, one that comes back long after it is late, and all that come
/// back together are the next burst. `unit_random` is uniform in [0, 1) and spreads them. Thread
/// safe.
std::uint32_t retry_hint_ms(refusal_facts const& facts, double unit_random);

/// Computes when a caller beyond the limit of its workspace should come back, in milliseconds:
/// after `wait_ms`, the time until the limit admits a request, and within a fraction of it again,
/// since all callers of a workspace that are refused together would otherwise return together. It
/// does not depend on the caller's own time: earlier, the request would be refused again. Thread
/// safe.
std::uint32_t limit_hint_ms(double wait_ms, double unit_random);

} // namespace guavashed
