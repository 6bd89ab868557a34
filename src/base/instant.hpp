/// \file
/// Defines the clocks and time points of the system. State holds deadlines as time points, never
/// remaining durations, which would be wrong after any delay.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace guavashed
{

/// Time since boot, including time in suspend. `std::chrono::steady_clock` doesn't advance while
/// a host is suspended, so a lease measured by it would still appear valid after its expiry.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// Thread safe.
    static time_point now() noexcept
    {
        timespec at{};
        clock_gettime(CLOCK_BOOTTIME, &at);
        return time_point(std::chrono::seconds(at.tv_sec) + std::chrono::nanoseconds(at.tv_nsec));
    }
};

/// A time point of this host's boot clock; has no meaning on another host, so it is never sent.
using instant = boot_clock::time_point;

/// A time point of the wall clock, for records that outlive a process.
using wall_instant = std::chrono::system_clock::time_point;

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// Whole milliseconds from `now` to `deadline`, rounded down; 0 when it has passed. Thread safe.
inline std::uint32_t remaining_ms(instant deadline, instant now)
{
    if (deadline <= now)
        return 0;
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(deadline - now).count());
}

/// Seconds in `span`, with their fraction. Thread safe.
inline double seconds(instant::duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Milliseconds from `from` to `to`, with their fraction; negative when `to` is earlier. Thread
/// safe.
inline double ms_between(instant from, instant to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

/// Converts `deadline` to the steady clock, which Asio timers use. Waits are capped at 24 hours, so
/// that distant deadlines don't overflow. Thread safe.
inline std::chrono::steady_clock::time_point timer_point(instant deadline)
{
    constexpr std::chrono::hours max_timer_wait{24};
    auto const left = deadline - boot_clock::now();
    return std::chrono::steady_clock::now() +
           (left > max_timer_wait ? std::chrono::nanoseconds(max_timer_wait) : left);
}

/// Milliseconds since the Unix epoch. Thread safe.
inline std::int64_t wall_ms(wall_instant at)
{
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

} // namespace guavashed
