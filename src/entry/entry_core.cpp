// Admission, claims, forwarding and dispatch of entry_core.
#include "entry/entry_core.hpp"

#include "base/invariant.hpp"
#include "entry/choose_home.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Upper limit on the time of a vote on a claim.
constexpr milliseconds claim_timeout{1500};
/// The answer to non-idempotent work is awaited this long past the caller's deadline, so that the
/// outcome can be recorded.
constexpr milliseconds outcome_grace{5000};
constexpr std::size_t max_requests = 100'000;

} // namespace

entry_core::entry_core(entry_settings settings, chart const& upstream_rules)
    : settings_(std::move(settings)), rules_(upstream_rules), retries_(settings_.retry_share),
      random_(settings_.seed)
{
    next_attempt_ = (random_() << 20) | 1;
}

entry_core::~entry_core() = default;

entry_actions entry_core::take_actions()
{
    return std::exchange(actions_, {});
}

void entry_core::note(std::string subject, std::string decision, std::string inputs)
{
    journal_.add(
        {wall_, std::move(subject), std::move(decision), std::move(inputs), state_.config.version});
}

std::unique_ptr<dispatch_order> entry_core::make_order(service_config const& config) const
{
    switch (settings_.policy)
    {
    case dispatch_policy::strict:
        return make_strict_order();
    case dispatch_policy::arrival:
        return make_arrival_order();
    case dispatch_policy::ranked:
        break;
    }
    return make_ranked_order(config.floors);
}

std::size_t entry_core::service_index_of(service_name const& service)
{
    for (std::size_t i = 0; i < services_.size(); ++i)
        if (services_[i]->name == service)
            return i;
    service_config const* config = find_service(state_.config, service);
    service_config const none;
    auto const changed = [this](upstream_name const& name, std::string const& upstream_state)
    {
        note(name.value(), upstream_state, "");
        actions_.emplace_back(report_change{name, upstream_state});
    };
    services_.push_back(std::make_unique<service_state>(
        service, rules_, changed, make_order(config == nullptr ? none : *config), settings_.queue));
    return services_.size() - 1;
}

service_rate entry_core::rate_of(service_state const& item, instant now) const
{
    std::uint32_t const slots =
        std::min(item.pool.usable_slots(now).value(), region_share_.limit(now).value());
    return {slot_count(slots), item.pool.mean_service(), item.pool.p95_service()};
}

void entry_core::on_request(instant now, wall_instant wall, caller_request const& request)
{
    wall_ = wall;
    ++counters_.requests;
    request_state state;
    state.request = request;
    state.arrived = now;
    service_config const* service = find_service(state_.config, request.service);
    work_kind_config const* kind = service == nullptr ? nullptr : find_kind(*service, request.kind);
    if (kind == nullptr)
        return refuse(now, state, burn_cause::refused,
                      "no kind of work " + request.kind.value() + " of service " +
                          request.service.value() + " is configured");
    state.importance = kind->importance;
    state.idempotent = kind->idempotent;
    state.objective_ms = kind->objective_ms;
    if (requests_.size() >= max_requests)
        return refuse(now, state, burn_cause::refused,
                      "too many requests on this entry host: " + std::to_string(requests_.size()) +
                          " of at most " + std::to_string(max_requests));
    if (request.deadline <= now)
        return refuse(now, state, burn_cause::refused,
                      "the deadline had passed when the request arrived");
    state.service_index = service_index_of(request.service);
    retries_.earn();
    auto& held = requests_.emplace(request.id, std::move(state)).first->second;
    if (needs_claim(held) && !request.forwarded && forward_unclaimed(now, held))
        return;
    if (needs_claim(held) && !begin_claim(now, wall, held))
        return;
    if (!needs_claim(held))
        queue_or_forward(now, held);
    dispatch(now);
}

/// Forwards non-idempotent work to a host that would run it sooner, before a claim is made here.
/// Refuses a first try that cannot meet its deadline, to save the recorders a synced write. True
/// when the request was forwarded or refused.
bool entry_core::forward_unclaimed(instant now, request_state& state)
{
    service_state const& item = *services_[state.service_index];
    service_rate const rate = rate_of(item, now);
    microseconds const wait = item.queue.expected_wait(state.importance, rate);
    bool const busy = !item.pool.has_free_slot(now) || item.queue.waiting() > 0;
    if (!busy || settings_.policy == dispatch_policy::arrival)
        return false;
    if (forward(now, state, rate.slots.value() == 0 ? wait : wait + rate.mean_service / 2))
        return true;
    if (!state.request.first_try || now + wait + rate.mean_service <= state.request.deadline)
        return false;
    refuse(now, state, burn_cause::queueing,
           "the deadline cannot be met: expected wait plus mean service time exceed it");
    return true;
}

bool entry_core::begin_claim(instant now, wall_instant wall, request_state& state)
{
    auto const issued = parse_ticket(state.request.key);
    if (!issued)
    {
        refuse(now, state, burn_cause::refused, to_string(issued.error()));
        return false;
    }
    if (issued.value().expires <= wall)
    {
        answer(
            now, state,
            {state.request.id,
             outcome_kind::unknown,
             0,
             {},
             burn_cause::refused,
             "the idempotency key has expired: not run now, outcome of earlier attempts unknown"});
        return false;
    }
    state.claim = attempt_id(next_attempt_++);
    state.recorders = issued.value().recorders;
    state.issued_ms = wall_ms(issued.value().issued);
    state.expires_ms = wall_ms(issued.value().expires);
    state.stage = request_stage::claiming;
    ++counters_.claims;
    claim_request const claim{claim_step::claim, state.request.key, state.claim,
                              state.issued_ms,   state.expires_ms,  {}};
    actions_.emplace_back(start_claim{state.request.id, claim, state.recorders,
                                      std::min(state.request.deadline, now + claim_timeout)});
    return true;
}

void entry_core::on_claim(instant now, request_id id, claim_verdict verdict,
                          recorded_answer const& answered)
{
    auto const at = requests_.find(id);
    if (at == requests_.end())
        return;
    request_state& state = at->second;
    GUAVASHED_INVARIANT(state.stage == request_stage::claiming)
        << "request " << id << " received a second verdict on its claim";
    if (verdict == claim_verdict::granted)
    {
        queue_or_forward(now, state);
        return dispatch(now);
    }
    record(state, claim_step::abandon, {});
    give_answer reply{id, outcome_kind::unknown, 0, {}, burn_cause::unknown, {}};
    switch (verdict)
    {
    case claim_verdict::settled:
        reply.outcome = answered.whole ? outcome_kind::answer : outcome_kind::unknown;
        reply.status = answered.status;
        reply.body = answered.body;
        reply.cause = burn_cause::none;
        reply.reason =
            answered.whole ? "" : "run before, but its answer was too large to be recorded";
        break;
    case claim_verdict::expired:
        reply.reason = "the idempotency key has expired: not run now";
        break;
    case claim_verdict::unknown:
        reply.reason = "another attempt with this idempotency key may have run";
        break;
    default:
        if (state.request.first_try)
            reply.outcome = outcome_kind::not_run;
        reply.cause = burn_cause::refused;
        reply.reason = "no majority of the key's recorders could be reached";
        break;
    }
    answer(now, state, std::move(reply));
}

void entry_core::queue_or_forward(instant now, request_state& state)
{
    service_state& item = *services_[state.service_index];
    service_rate const rate = rate_of(item, now);
    microseconds const wait = item.queue.expected_wait(state.importance, rate);
    bool const busy = !item.pool.has_free_slot(now) || item.queue.waiting() > 0;
    if (busy && settings_.policy != dispatch_policy::arrival && !needs_claim(state) &&
        forward(now, state,
                rate.slots.value() == 0 ? std::chrono::hours(1) : wait + rate.mean_service / 2))
        return;
    work_item const waiting{state.request.id, state.importance, state.request.deadline,
                            state.arrived, stable_hash(state.request.caller.value())};
    admission_verdict const verdict = item.queue.submit(now, waiting, rate);
    if (verdict == admission_verdict::queued)
    {
        state.stage = request_stage::queued;
        return;
    }
    ++counters_.refused_late;
    burn_cause const cause =
        verdict == admission_verdict::caller_limit ? burn_cause::refused : burn_cause::queueing;
    refuse(now, state, cause, to_string(verdict));
}

bool entry_core::forward(instant now, request_state& state, microseconds local_wait)
{
    if (state.request.forwarded || state.tries >= max_tries)
        return false;
    host_row const self = row(now);
    forward_inputs inputs;
    inputs.self = &self;
    inputs.service = state.request.service;
    inputs.importance = state.importance;
    inputs.local_wait = local_wait;
    inputs.latest_start = std::chrono::duration_cast<microseconds>(state.request.deadline - now);
    inputs.may_cross_regions = connected_ || state_.config.isolated_crosses_regions;
    inputs.draw = random_();
    auto const outstanding = [this](host_name const& host)
    {
        auto const at = outstanding_.find(host);
        return at == outstanding_.end() ? 0U : at->second;
    };
    std::uint64_t const bytes = state.request.bytes;
    auto const room = [&](region_name const& region)
    {
        auto const link = link_shares_.find(region);
        return link == link_shares_.end() || link->second.acquire(now, bytes);
    };
    host_row const* target = choose_forward(view_, inputs, outstanding, room);
    if (target == nullptr)
        return false;
    ++counters_.forwards;
    ++state.tries;
    ++outstanding_[target->host];
    state.stage = request_stage::forwarded;
    state.forwarded_to = target->host;
    actions_.emplace_back(send_forward{state.request.id, target->host, target->peer_endpoint,
                                       state.request.deadline});
    return true;
}

void entry_core::dispatch(instant now)
{
    bool progress = true;
    while (progress && !services_.empty())
    {
        progress = false;
        for (std::size_t i = 0; i < services_.size(); ++i)
        {
            std::size_t const position = (round_robin_start_ + i) % services_.size();
            if (dispatch_one(now, *services_[position], position))
                progress = true;
        }
        round_robin_start_ = (round_robin_start_ + 1) % services_.size();
    }
}

bool entry_core::dispatch_one(instant now, service_state& item, std::size_t position)
{
    if (item.queue.waiting() == 0 || !item.pool.has_free_slot(now))
        return false;
    if (!region_share_.acquire(now))
        return false;
    auto const next = item.queue.take(now);
    GUAVASHED_INVARIANT(next.has_value())
        << item.name << " has queued work, but its queue returned none";
    auto const at = requests_.find(next->id);
    GUAVASHED_INVARIANT(at != requests_.end())
        << "request " << next->id << " was queued but is not known";
    request_state& state = at->second;
    GUAVASHED_INVARIANT(state.service_index == position && state.stage == request_stage::queued)
        << "request " << next->id << " was taken from a queue that it does not belong to";
    bool const waited = now > state.arrived;
    auto const needed = needed_time(rate_of(item, now), state.arrived, next->deadline);
    bool const too_late = settings_.policy == dispatch_policy::arrival
                              ? next->deadline <= now
                              : waited && now + needed > next->deadline;
    if (too_late)
    {
        region_share_.release();
        refuse(now, state, burn_cause::queueing,
               "the deadline can no longer be met after the wait in the queue");
        return true;
    }
    auto const pick = item.pool.pick(now);
    GUAVASHED_INVARIANT(pick.has_value())
        << item.name << " had a free slot, but its pool returned none";
    send(now, state, *pick);
    return true;
}

void entry_core::send(instant now, request_state& state, upstream_pick const& pick)
{
    GUAVASHED_INVARIANT(region_share_.used() <= region_share_.limit(now))
        << "region " << settings_.region << ": this host uses " << region_share_.used()
        << " slots of its share of " << region_share_.limit(now);
    attempt_id const attempt(next_attempt_++);
    state.stage = request_stage::running;
    state.attempt = attempt;
    state.dispatched = now;
    ++state.tries;
    GUAVASHED_INVARIANT(state.idempotent || state.claim.value() != 0)
        << "request " << state.request.id << " is not idempotent and would be sent without a claim";
    attempts_.emplace(attempt,
                      attempt_state{state.request.id, state.service_index, pick.position, now});
    state.attempt_timeout_at = now + services_[state.service_index]->pool.attempt_timeout();
    instant const until =
        state.idempotent ? state.request.deadline : state.request.deadline + outcome_grace;
    actions_.emplace_back(
        send_upstream{state.request.id, attempt, pick.endpoint, pick.name, state.request.kind,
                      until, std::min(pick.lease_until, now + send_limit), !state.idempotent});
    note(std::to_string(state.request.id.value()), "sent to " + pick.name.value(),
         "slots in use " +
             std::to_string(services_[state.service_index]->pool.in_flight().value()));
}

} // namespace guavashed
