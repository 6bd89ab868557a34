// The planned stop of an entry host.
#include "base/log.hpp"
#include "fleet/gateway_node.hpp"

#include <algorithm>
#include <future>
#include <thread>

namespace guavashed
{
namespace
{

constexpr milliseconds drain_poll_interval{20};

/// Polls until `condition` holds; false if it did not by `deadline`.
template <class Condition>
bool wait_until(instant deadline, Condition condition)
{
    while (!condition())
    {
        if (instant::clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(drain_poll_interval);
    }
    return true;
}

} // namespace

template <class Action>
auto gateway_node::on_event_loop(Action action)
{
    std::promise<decltype(action())> done;
    boost::asio::post(event_loop_.context(), [&] { done.set_value(action()); });
    return done.get_future().get();
}

void gateway_node::leave(drain_schedule const& schedule)
{
    std::size_t const in_flight = on_event_loop(
        [&]
        {
            drain_ = schedule;
            caller_server_->drain();
            report_when_due(instant::clock::now());
            return calls_.size();
        });
    log_change(log_level::info, "entry_leaving",
               "in_flight=" + std::to_string(in_flight) + " refuse_in_ms=" +
                   std::to_string(remaining_ms(schedule.refuse_from, instant::clock::now())) +
                   " answer_in_ms=" +
                   std::to_string(remaining_ms(schedule.answer_by, instant::clock::now())));
    auto const is_idle = [this] { return on_event_loop([this] { return calls_.empty(); }); };
    std::this_thread::sleep_until(schedule.refuse_from);
    bool const all_answered = wait_until(schedule.answer_by, is_idle);
    if (!all_answered)
        on_event_loop([this] { return cut_short(); });
    wait_until(schedule.end_by, is_idle);
    caller_server_->close();
    // Connections end here as their callers read the last answers; one that the process left open
    // with unread bytes would be reset.
    wait_until(schedule.end_by, [this] { return caller_server_->closed(); });
    log_change(log_level::info, "entry_left",
               std::string("idle=") + (all_answered ? "1" : "0") +
                   " open_connections=" + std::to_string(caller_server_->counters().open));
}

std::size_t gateway_node::cut_short()
{
    is_cutting_short_ = true;
    counters_.cut_short_by_stop += calls_.size();
    // Each attempt ends with an error, upon which its request is answered.
    refuse_held();
    auto const unanswered = calls_;
    for (auto const& item : unanswered)
        if (item->running != 0)
            client_.cancel(item->running);
    return unanswered.size();
}

} // namespace guavashed
