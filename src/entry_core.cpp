#include "entry_core.hpp"

#include "choose_home.hpp"
#include "invariant.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr milliseconds claim_limit{1500};
constexpr milliseconds cancel_settle{100};
/// Shorter than the time for which control keeps a seat, by more than clocks differ.
constexpr std::chrono::minutes seat_use{110};
/// Work that must run once is awaited this much past its caller's deadline, to learn its outcome.
constexpr milliseconds outcome_grace{5000};
constexpr std::size_t max_recorded_body = 16 * 1024;
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

std::size_t entry_core::desk_of(service_name const& service)
{
    for (std::size_t i = 0; i < desks_.size(); ++i)
        if (desks_[i]->name == service)
            return i;
    service_config const* config = find_service(state_.config, service);
    service_config const none;
    auto const changed = [this](upstream_name const& name, std::string const& upstream_state)
    {
        note(name.value(), upstream_state, "");
        actions_.emplace_back(report_change{name, upstream_state});
    };
    desks_.push_back(std::make_unique<desk>(
        service, rules_, changed, make_order(config == nullptr ? none : *config), settings_.queue));
    return desks_.size() - 1;
}

service_rate entry_core::rate_of(desk const& item, instant now) const
{
    std::uint32_t const slots =
        std::min(item.pool.usable_slots(now).value(), region_share_.limit(now).value());
    return {slot_count(slots), item.pool.mean_service(), item.pool.late_service()};
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
                      "no such service or kind of work is configured");
    state.importance = kind->importance;
    state.idempotent = kind->idempotent;
    state.objective_ms = kind->objective_ms;
    if (requests_.size() >= max_requests)
        return refuse(now, state, burn_cause::refused, "this entry host holds too many requests");
    if (request.deadline <= now)
        return refuse(now, state, burn_cause::refused, "its deadline has passed");
    state.desk = desk_of(request.service);
    retries_.earn();
    auto& held = requests_.emplace(request.id, std::move(state)).first->second;
    if (needs_claim(held) && !request.forwarded && forward_unclaimed(now, held))
        return;
    if (needs_claim(held) && !begin_claim(now, wall, held))
        return;
    if (!needs_claim(held))
        place(now, held);
    dispatch(now);
}

/// Sends work that must run once to a host that would run it sooner, before a claim is made here;
/// refuses a hopeless first try before it costs the recorders a synced write.
bool entry_core::forward_unclaimed(instant now, request_state& state)
{
    desk const& item = *desks_[state.desk];
    service_rate const rate = rate_of(item, now);
    microseconds const wait = item.queue.expected_wait(state.importance, rate);
    bool const busy = !item.pool.has_free_slot(now) || item.queue.waiting() > 0;
    if (!busy || settings_.policy == dispatch_policy::arrival)
        return false;
    if (forward(now, state, rate.slots.value() == 0 ? wait : wait + rate.mean_service / 2))
        return true;
    if (!state.request.first_try || now + wait + rate.mean_service <= state.request.deadline)
        return false;
    refuse(now, state, burn_cause::queueing, "its deadline cannot be met");
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
        answer(now, state,
               {state.request.id,
                outcome_kind::unknown,
                0,
                {},
                burn_cause::refused,
                "the key's time is over: it is not run now, earlier attempts are not known"});
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
                                      std::min(state.request.deadline, now + claim_limit)});
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
        << "request " << id << " got a verdict on its claim twice";
    if (verdict == claim_verdict::granted)
    {
        place(now, state);
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
        reply.reason = answered.whole ? "" : "it ran; its answer was too large to keep";
        break;
    case claim_verdict::expired:
        reply.reason = "the key's time is over: it is not run now";
        break;
    case claim_verdict::unknown:
        reply.reason = "another attempt with this key may have run";
        break;
    default:
        if (state.request.first_try)
            reply.outcome = outcome_kind::not_run;
        reply.cause = burn_cause::refused;
        reply.reason = "the key's recorders cannot be reached";
        break;
    }
    answer(now, state, std::move(reply));
}

void entry_core::place(instant now, request_state& state)
{
    desk& item = *desks_[state.desk];
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
        auto const link = links_.find(region);
        return link == links_.end() || link->second.acquire(now, bytes);
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
    while (progress && !desks_.empty())
    {
        progress = false;
        for (std::size_t i = 0; i < desks_.size(); ++i)
        {
            std::size_t const position = (rotation_ + i) % desks_.size();
            if (dispatch_one(now, *desks_[position], position))
                progress = true;
        }
        rotation_ = (rotation_ + 1) % desks_.size();
    }
}

bool entry_core::dispatch_one(instant now, desk& item, std::size_t position)
{
    if (item.queue.waiting() == 0 || !item.pool.has_free_slot(now))
        return false;
    if (!region_share_.acquire(now))
        return false;
    auto const next = item.queue.take(now);
    GUAVASHED_INVARIANT(next.has_value()) << item.name << " has work waiting but gave none";
    auto const at = requests_.find(next->id);
    GUAVASHED_INVARIANT(at != requests_.end()) << "request " << next->id << " is not held";
    request_state& state = at->second;
    GUAVASHED_INVARIANT(state.desk == position && state.stage == request_stage::queued)
        << "request " << next->id << " was taken from a queue it is not in";
    bool const waited = now > state.arrived;
    auto const needed = needed_time(rate_of(item, now), state.arrived, next->deadline);
    bool const too_late = settings_.policy == dispatch_policy::arrival
                              ? next->deadline <= now
                              : waited && now + needed > next->deadline;
    if (too_late)
    {
        region_share_.release();
        refuse(now, state, burn_cause::queueing, "it waited too long to meet its deadline");
        return true;
    }
    auto const pick = item.pool.pick(now);
    GUAVASHED_INVARIANT(pick.has_value()) << item.name << " had a free slot and gave none";
    send(now, state, *pick);
    return true;
}

void entry_core::send(instant now, request_state& state, upstream_pick const& pick)
{
    GUAVASHED_INVARIANT(region_share_.used() <= region_share_.limit(now))
        << "region " << settings_.region << " uses " << region_share_.used() << " of "
        << region_share_.limit(now);
    attempt_id const attempt(next_attempt_++);
    state.stage = request_stage::running;
    state.attempt = attempt;
    state.dispatched = now;
    ++state.tries;
    GUAVASHED_INVARIANT(state.idempotent || state.claim.value() != 0)
        << "request " << state.request.id << " is sent without a claim";
    attempts_.emplace(attempt, attempt_state{state.request.id, state.desk, pick.position, now});
    state.patience_until = now + desks_[state.desk]->pool.patience();
    instant const until =
        state.idempotent ? state.request.deadline : state.request.deadline + outcome_grace;
    actions_.emplace_back(
        send_upstream{state.request.id, attempt, pick.endpoint, pick.name, state.request.kind,
                      until, std::min(pick.lease_until, now + send_limit), !state.idempotent});
    note(std::to_string(state.request.id.value()), "sent to " + pick.name.value(),
         "slots in use " + std::to_string(desks_[state.desk]->pool.in_flight().value()));
}

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
    else if (ended.given_up)
        ending = work_ending::cancelled;
    if (ended.given_up && ending == work_ending::cancelled)
        // The upstream frees its slot only when it has noticed the closed connection.
        settling_.push_back({now + cancel_settle, ended.desk, ended.position, took});
    else
        free_slot(now, {now, ended.desk, ended.position, took}, ending);
    auto const owner = requests_.find(ended.id);
    if (owner != requests_.end() && owner->second.stage == request_stage::running &&
        owner->second.attempt == attempt)
        on_answered(now, owner->second, result);
    dispatch(now);
}

void entry_core::free_slot(instant now, settling_slot const& slot, work_ending ending)
{
    desks_[slot.desk]->pool.release(now, slot.position, ending, slot.took);
    region_share_.release();
}

void entry_core::on_answered(instant now, request_state& state, attempt_result& result)
{
    request_id const id = state.request.id;
    switch (result.ending)
    {
    case attempt_ending::answered:
    {
        bool const whole = result.body.size() <= max_recorded_body;
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
        return refuse(now, state, burn_cause::upstream, "no upstream took it: " + result.detail);
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
                       "sent, and no whole answer came back: " + result.detail});
    }
}

bool entry_core::retry(instant now, request_state& state)
{
    if (state.tries >= max_tries || !retries_.spend())
        return false;
    ++counters_.retries;
    place(now, state);
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
    else if (!surely_not_run(state))
    {
        reply.outcome = outcome_kind::unknown;
        reply.reason += "; this attempt did not run, earlier ones with its key were not checked";
    }
    if (needs_claim(state) && state.claim.value() != 0)
        record(state, claim_step::abandon, {});
    answer(now, state, std::move(reply));
}

/// "Not run" is about the key, not only about this attempt: it is true when the work is idempotent,
/// when the caller never sent the key before, or when the recorders granted it.
bool entry_core::surely_not_run(request_state const& state) const
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
    GUAVASHED_INVARIANT(outstanding > 0) << "host " << state.forwarded_to << " answered twice";
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
        place(now, state);
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
        // The verdict is still to come; nobody awaits the answer.
        state.request.deadline = now;
        state.answered = true;
        return;
    case request_stage::queued:
        desks_[state.desk]->queue.cancel(id);
        record(state, claim_step::abandon, {});
        return erase(id);
    case request_stage::running:
        state.answered = true;
        if (!state.idempotent)
            return;
        attempts_.at(state.attempt).given_up = true;
        actions_.emplace_back(cancel_upstream{state.attempt});
        return erase(id);
    case request_stage::forwarded:
        --outstanding_[state.forwarded_to];
        actions_.emplace_back(cancel_forward{id, state.forwarded_to});
        return erase(id);
    }
}

void entry_core::on_state(instant now, fleet_state const& state)
{
    GUAVASHED_INVARIANT(state.config.version > state_.config.version ||
                        state_.config.version.value() == 0)
        << "version " << state.config.version << " would follow " << state_.config.version;
    state_ = state;
    for (auto& item : desks_)
        if (service_config const* service = find_service(state_.config, item->name))
            item->queue.replace_order(make_order(*service));
    for (auto const& name : state_.config.leaving_upstreams)
        for (auto& item : desks_)
            item->pool.leave(name);
    divide_caps();
    dispatch(now);
}

void entry_core::on_seats(instant now, std::vector<seat> const& seats)
{
    state_.seats = seats;
    divide_caps();
    dispatch(now);
}

void entry_core::on_control_lease(instant now, bool connected)
{
    connected_ = connected;
    if (connected)
    {
        bool const ended = seat_until_ != instant() && seat_until_ <= now;
        seat_until_ = now + seat_use;
        if (ended)
            divide_caps();
    }
    else if (seat_until_ != instant() && seat_until_ <= now)
        region_share_.base(slot_count(0));
}

/// This host's parts of its region's slots and of the links from it.
void entry_core::divide_caps()
{
    region_config const* region = find_region(state_.config, settings_.region);
    slot_count share(0);
    std::uint32_t hosts = 1;
    if (region != nullptr)
    {
        hosts = region->entry_hosts;
        for (auto const& item : state_.seats)
            if (item.host == settings_.host && item.region == settings_.region)
                share = divide_cap(region->slot_cap, hosts, item.position);
    }
    region_share_.base(share);
    links_.clear();
    for (auto const& link : state_.config.links)
        if (link.from == settings_.region)
            links_[link.to].rate(bytes_per_second(link.cap.value() / hosts));
    note("configuration", "in force here",
         "share of the region " + std::to_string(share.value()) + " slots");
}

bool entry_core::on_view(view_push const& push)
{
    return view_.apply(push);
}

host_row entry_core::row(instant now) const
{
    host_row out;
    out.host = settings_.host;
    out.life = settings_.life;
    out.region = settings_.region;
    out.domain = settings_.domain;
    out.phase = phase_;
    out.version = state_.config.version;
    for (auto const& item : desks_)
    {
        service_load load;
        load.service = item->name;
        load.slots = static_cast<std::uint16_t>(rate_of(*item, now).slots.value());
        load.in_flight = static_cast<std::uint16_t>(item->pool.in_flight().value());
        for (std::size_t r = 0; r < rank_count; ++r)
            load.waiting[r] = static_cast<std::uint16_t>(item->queue.waiting(static_cast<rank>(r)));
        load.mean_service_us = static_cast<std::uint32_t>(item->pool.mean_service().count());
        out.services.push_back(std::move(load));
    }
    return out;
}

std::vector<upstream_pool::row> entry_core::upstream_rows() const
{
    std::vector<upstream_pool::row> out;
    for (auto const& item : desks_)
        for (auto& row : item->pool.rows())
            out.push_back(std::move(row));
    return out;
}

} // namespace guavashed
