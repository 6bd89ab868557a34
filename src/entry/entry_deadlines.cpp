// The time-driven part of entry_core: expired requests, attempt timeouts and periodic work.
#include "entry/entry_core.hpp"

namespace guavashed
{
namespace
{

constexpr milliseconds move_plan_interval{500};
constexpr milliseconds attempt_check_interval{20};

} // namespace

void entry_core::expire_waiting(instant now, service_state& item)
{
    while (auto const expired = item.queue.take_expired(now))
    {
        auto const at = requests_.find(expired->id);
        if (at != requests_.end())
            refuse(now, at->second, burn_cause::queueing,
                   "the deadline passed while the request was queued");
    }
}

void entry_core::check_attempts(instant now)
{
    std::vector<request_id> past_deadline;
    std::vector<request_id> unresponsive;
    for (auto const& [id, state] : requests_)
    {
        if (state.stage == request_stage::claiming || state.stage == request_stage::queued)
            continue;
        if (state.request.deadline <= now && !state.answered)
            past_deadline.push_back(id);
        else if (state.stage == request_stage::running && state.idempotent &&
                 state.attempt_timeout_at <= now && state.tries < max_tries)
            unresponsive.push_back(id);
    }
    for (request_id const id : past_deadline)
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
            attempts_.at(state.attempt).cancel_requested = true;
            actions_.emplace_back(cancel_upstream{state.attempt});
        }
        else
        {
            --outstanding_[state.forwarded_to];
            actions_.emplace_back(cancel_forward{id, state.forwarded_to});
        }
        answer(now, state, std::move(reply));
    }
    for (request_id const id : unresponsive)
    {
        request_state& state = requests_.at(id);
        attempt_id const old = state.attempt;
        state.attempt_timeout_at = state.request.deadline;
        state.may_have_run = true;
        if (!retry(now, state))
            continue;
        ++counters_.silent_attempts;
        actions_.emplace_back(cancel_upstream{old});
    }
}

void entry_core::tick(instant now)
{
    for (auto& item : services_)
    {
        item->pool.tick(now);
        expire_waiting(now, *item);
    }
    if (now >= next_attempt_check_)
    {
        next_attempt_check_ = now + attempt_check_interval;
        check_attempts(now);
    }
    if (now >= next_move_plan_)
    {
        next_move_plan_ = now + move_plan_interval;
        plan_upstream_moves(now);
    }
    while (!pending_releases_.empty() && pending_releases_.front().until <= now)
    {
        free_slot(now, pending_releases_.front(), work_ending::cancelled);
        pending_releases_.pop_front();
    }
    dispatch(now);
}

} // namespace guavashed
