// How requests end in entry_core: results of attempts and forwards, retries, answers, refusals and
// cancellation by the caller.
#include "base/invariant.hpp"
#include "entry/entry_core.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Time for an upstream to notice a closed connection and free the slot of a cancelled attempt.
constexpr milliseconds cancel_release_delay{100};
/// Bytes; a longer answer is not kept by the recorders, only the fact that the work has run.
constexpr std::size_t max_recorded_body_bytes = 16 * 1024;

} // namespace

void entry_core::on_attempt(instant now, attempt_id attempt, attempt_result result)
{
    auto const at = attempts_.find(attempt);
    if (at == attempts_.end())
        return;
    attempt_state const ended = at->second;
    attempts_.erase(at);
    auto const took = std::chrono::duration_cast<microseconds>(now - ended.started);
    work_ending ending = work_ending::failed;
    if (result.ending == attempt_ending::answered)
        ending = work_ending::answered;
    else if (result.ending == attempt_ending::refused_unstarted)
        ending = work_ending::shed;
    else if (ended.cancel_requested)
        ending = work_ending::cancelled;
    if (ended.cancel_requested && ending == work_ending::cancelled)
        // The upstream frees its slot only once it notices the closed connection.
        pending_releases_.push_back(
            {now + cancel_release_delay, ended.service_index, ended.position, took});
    else
        free_slot(now, {now, ended.service_index, ended.position, took}, ending);
    auto const owner = requests_.find(ended.id);
    if (owner != requests_.end() && owner->second.stage == request_stage::running &&
        owner->second.attempt == attempt)
        on_answered(now, owner->second, result);
    dispatch(now);
}

void entry_core::free_slot(instant now, pending_release const& slot, work_ending ending)
{
    services_[slot.service_index]->pool.release(now, slot.position, ending, slot.took);
    region_share_.release();
}

void entry_core::on_answered(instant now, request_state& state, attempt_result& result)
{
    request_id const id = state.request.id;
    switch (result.ending)
    {
    case attempt_ending::answered:
    {
        bool const whole = result.body.size() <= max_recorded_body_bytes;
        if (needs_claim(state))
            record(state, claim_step::settle,
                   {result.status, whole ? result.body : std::string(), whole});
        return answer(now, state,
                      {id,
                       outcome_kind::answer,
                       result.status,
                       std::move(result.body),
                       burn_cause::none,
                       {}});
    }
    case attempt_ending::unsent:
    case attempt_ending::refused_unstarted:
        if (state.request.deadline > now && retry(now, state))
            return;
        return refuse(now, state, burn_cause::upstream,
                      "no upstream accepted the request: " + result.detail);
    case attempt_ending::lost:
        state.may_have_run = true;
        if (state.idempotent && state.request.deadline > now && retry(now, state))
            return;
        return answer(now, state,
                      {id,
                       outcome_kind::unknown,
                       0,
                       {},
                       burn_cause::upstream,
                       "sent, but no complete answer was received: " + result.detail});
    }
}

bool entry_core::retry(instant now, request_state& state)
{
    if (state.tries >= max_tries || !retries_.spend())
        return false;
    ++counters_.retries;
    queue_or_forward(now, state);
    return true;
}

void entry_core::refuse(instant now, request_state& state, burn_cause cause, std::string reason)
{
    give_answer reply{state.request.id, outcome_kind::not_run, 0, {}, cause, std::move(reason)};
    if (state.may_have_run)
    {
        reply.outcome = outcome_kind::unknown;
        reply.reason += "; an earlier attempt may have run";
    }
    else if (!known_not_run(state))
    {
        reply.outcome = outcome_kind::unknown;
        reply.reason +=
            "; this attempt did not run, earlier ones with the same key were not checked";
    }
    if (needs_claim(state) && state.claim.value() != 0)
        record(state, claim_step::abandon, {});
    answer(now, state, std::move(reply));
}

/// True when "not run" holds for the key and not only for this attempt: the work is idempotent or
/// has no key, the caller never sent the key before, or the recorders granted this host's claim.
bool entry_core::known_not_run(request_state const& state) const
{
    return state.idempotent || state.request.first_try || state.claim.value() != 0 ||
           state.request.key.value().empty();
}

void entry_core::record(request_state const& state, claim_step step, recorded_answer answer)
{
    if (state.claim.value() == 0)
        return;
    actions_.emplace_back(record_claim{{step, state.request.key, state.claim, state.issued_ms,
                                        state.expires_ms, std::move(answer)},
                                       state.recorders});
}

void entry_core::answer(instant now, request_state& state, give_answer reply)
{
    request_id const id = state.request.id;
    if (!state.answered)
    {
        state.answered = true;
        switch (reply.outcome)
        {
        case outcome_kind::answer:
            ++counters_.answers;
            break;
        case outcome_kind::not_run:
            ++counters_.not_run;
            break;
        case outcome_kind::unknown:
            ++counters_.unknown;
            break;
        }
        if (!state.request.forwarded)
            burn_.add(wall_, {state.request.service, state.request.kind, reply.outcome, reply.cause,
                              std::chrono::duration_cast<milliseconds>(now - state.arrived),
                              state.objective_ms});
        actions_.emplace_back(std::move(reply));
    }
    erase(id);
}

void entry_core::erase(request_id id)
{
    requests_.erase(id);
}

void entry_core::on_forward(instant now, forward_reply reply, bool reached)
{
    auto const at = requests_.find(reply.id);
    if (at == requests_.end() || at->second.stage != request_stage::forwarded)
        return;
    request_state& state = at->second;
    auto& outstanding = outstanding_[state.forwarded_to];
    GUAVASHED_INVARIANT(outstanding > 0)
        << "host " << state.forwarded_to << " answered a forwarded request twice";
    --outstanding;
    state.may_have_run = state.may_have_run || reply.outcome == outcome_kind::unknown;
    bool const may_retry = reply.outcome == outcome_kind::not_run ||
                           (reply.outcome == outcome_kind::unknown && state.idempotent);
    if (may_retry && state.request.deadline > now && state.tries < max_tries &&
        (!reached || retries_.spend()))
    {
        if (needs_claim(state))
        {
            if (begin_claim(now, wall_, state))
                return;
            return;
        }
        queue_or_forward(now, state);
        return dispatch(now);
    }
    if (reply.outcome == outcome_kind::not_run)
        return refuse(now, state, reply.cause, std::move(reply.reason));
    answer(now, state,
           {reply.id, reply.outcome, reply.status, std::move(reply.body), reply.cause,
            std::move(reply.reason)});
    dispatch(now);
}

void entry_core::on_abandoned(instant now, request_id id)
{
    auto const at = requests_.find(id);
    if (at == requests_.end())
        return;
    request_state& state = at->second;
    ++counters_.cancelled;
    switch (state.stage)
    {
    case request_stage::claiming:
        // The verdict is still outstanding. The deadline is set to now so that the work is not sent
        // when the claim is granted, and no answer is given.
        state.request.deadline = now;
        state.answered = true;
        return;
    case request_stage::queued:
        services_[state.service_index]->queue.cancel(id);
        record(state, claim_step::abandon, {});
        return erase(id);
    case request_stage::running:
        state.answered = true;
        if (!state.idempotent)
            return;
        attempts_.at(state.attempt).cancel_requested = true;
        actions_.emplace_back(cancel_upstream{state.attempt});
        return erase(id);
    case request_stage::forwarded:
        --outstanding_[state.forwarded_to];
        actions_.emplace_back(cancel_forward{id, state.forwarded_to});
        return erase(id);
    }
}

} // namespace guavashed
