/// \file
/// Defines ticker, a periodic timer on an event loop.
#pragma once

#include "base/event_loop.hpp"
#include "base/instant.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace guavashed
{

/// Calls a function on the owner's thread, each time one interval after the previous call returned.
/// Thread safety: construct on any thread, `start` on the owner's thread. Stops when the owner
/// stops.
///
/// Example: `ticker ticker_(decision, milliseconds(5), [this](instant now) { tick(now); });`
class ticker
{
public:
    using on_tick = std::function<void(instant now)>;

    /// Precondition: `owner` outlives the ticker.
    ticker(event_loop& owner, milliseconds interval, on_tick action)
        : timer_(owner.context()), interval_(interval), action_(std::move(action))
    {
    }

    /// Starts the timer; the first call follows after one interval.
    void start()
    {
        timer_.expires_after(interval_);
        timer_.async_wait(
            [this](boost::system::error_code code)
            {
                if (code)
                    return;
                action_(instant::clock::now());
                start();
            });
    }

private:
    boost::asio::steady_timer timer_;
    milliseconds interval_;
    on_tick action_;
};

} // namespace guavashed
