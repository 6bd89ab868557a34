// The time-driven part of entry_core: expired requests, attempt timeouts and periodic work.
#include "entry/entry_core.hpp"

namespace guavashed
{
namespace
{

constexpr milliseconds spread_interval{500};
constexpr milliseconds watch_interval{20};

} // namespace

void entry_core::expire_waiting(instant now, desk& item)
{
    while (auto const expired = item.queue.take_expired(now))
    {
        auto const at = requests_.find(expired->id);
        if (at != requests_.end())
            refuse(now, at->second, burn_cause::queueing,
                   "the deadline passed while the request was queued");
    }
}

void entry_core::watch_attempts(instant now)
{
    std::vector<request_id> late;
    std::vector<request_id> silent;
    for (auto const& [id, state] : requests_)
    {
        if (state.stage == request_stage::claiming || state.stage == request_stage::queued)
            continue;
        if (state.request.deadline <= now && !state.answered)
            late.push_back(id);
        else if (state.stage == request_stage::running && state.idempotent &&
                 state.patience_until <= now && state.tries < max_tries)
            silent.push_back(id);
    }
    for (request_id const id : late)
    {
        request_state& state = requests_.at(id);
        give_answer reply{
            id, outcome_kind::unknown, 0,
            {}, burn_cause::upstream,  "the deadline passed while the request was running"};
        if (state.stage == request_stage::running && !state.idempotent)
        {
            // The caller is answered "unknown" now; the attempt goes on so that its outcome can
            // still be recorded under the key.
            state.answered = true;
            ++counters_.unknown;
            actions_.emplace_back(std::move(reply));
            continue;
        }
        if (state.stage == request_stage::running)
        {
            attempts_.at(state.attempt).given_up = true;
            actions_.emplace_back(cancel_upstream{state.attempt});
        }
        else
        {
            --outstanding_[state.forwarded_to];
            actions_.emplace_back(cancel_forward{id, state.forwarded_to});
        }
        answer(now, state, std::move(reply));
    }
    for (request_id const id : silent)
    {
        request_state& state = requests_.at(id);
        attempt_id const old = state.attempt;
        state.patience_until = state.request.deadline;
        state.may_have_run = true;
        if (!retry(now, state))
            continue;
        ++counters_.silent_attempts;
        actions_.emplace_back(cancel_upstream{old});
    }
}

void entry_core::tick(instant now)
{
    for (auto& item : desks_)
    {
        item->pool.tick(now);
        expire_waiting(now, *item);
    }
    if (now >= next_watch_)
    {
        next_watch_ = now + watch_interval;
        watch_attempts(now);
    }
    if (now >= next_spread_)
    {
        next_spread_ = now + spread_interval;
        spread_upstreams(now);
    }
    while (!settling_.empty() && settling_.front().until <= now)
    {
        free_slot(now, settling_.front(), work_ending::cancelled);
        settling_.pop_front();
    }
    dispatch(now);
}

} // namespace guavashed
