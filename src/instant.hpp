/// \file
/// Defines the points in time that decisions take; state keeps deadlines, never durations.
#pragma once

#include <chrono>
#include <cstdint>

namespace guavashed
{

/// A point on this host's monotonic clock; never sent to another host.
using instant = std::chrono::steady_clock::time_point;

/// A point on the wall clock, for records that outlive a process.
using wall_instant = std::chrono::system_clock::time_point;

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// Whole milliseconds from `now` to `deadline`, 0 when it has passed. Thread safe.
inline std::uint32_t remaining_ms(instant deadline, instant now)
{
    if (deadline <= now)
        return 0;
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(deadline - now).count());
}

/// Milliseconds since the epoch of the wall clock. Thread safe.
inline std::int64_t wall_ms(wall_instant at)
{
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

} // namespace guavashed
