// Picks upstreams: eligibility, affinity rank, predicted latency, and the bounds on late answers.
#include "routing/upstream_selector.hpp"

#include "base/invariant.hpp"

#include <algorithm>
#include <xxhash.h>

namespace guavashed
{
namespace
{

/// Number of entry hosts that may send to a cold upstream; each uses an equal part of its rate.
constexpr std::size_t max_warmup_hosts = 4;
/// Factor by which the rate to a cold upstream stays below what it can serve.
constexpr double warmup_margin = 1.2;
/// Time from a host's first view to its first request to a cold upstream. Where many hosts start
/// together, the first view names only those that have connected before.
constexpr milliseconds list_wait{500};
/// Initial estimates of the service time, as fractions of the latency objective.
constexpr double initial_home_fraction = 0.4;
constexpr double initial_other_fraction = 0.9;
/// Least service time assumed away from an object's home, as a multiple of that at home. Fast
/// answers of a second-choice upstream that had the object cached must not attract objects that it
/// does not have.
constexpr double min_away_factor = 2;
/// Initial estimates of a round trip, until connection times have been measured.
constexpr double own_domain_round_trip_ms = 2;
constexpr double own_region_round_trip_ms = 12;
constexpr double other_region_round_trip_ms = 100;
/// Bound on a burst of requests that load moves to another region.
constexpr double max_spill_tokens = 3;
/// A request that would queue and be answered later than this many latency objectives is refused at
/// once, because it would take a slot from requests that can still be answered in time.
constexpr double max_queued_answer_objectives = 1.25;
/// A host that stops needs this multiple of the predicted time of an answer: an upstream that does
/// not have the object cached takes longer than predicted, and the request would be cut off.
constexpr double stop_margin = 2;

} // namespace

upstream_selector::upstream_selector(selector_settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed)
{
    for (auto const& [domain, region] : settings_.regions)
        regions_.insert(region);
    settings_.max_spill_ratio = std::min(settings_.max_spill_ratio, settings_.max_region_shift);
}

void upstream_selector::configure(routing_config const& config)
{
    services_.clear();
    for (auto const& service : config.services)
        services_[service.name] = service;
}

void upstream_selector::apply(fleet_changes const& changes, instant now)
{
    std::set<upstream_name> listed;
    for (auto const& change : changes.upstreams)
    {
        upstream_name const& id = change.row.id;
        listed.insert(id);
        auto const existing = upstreams_.find(id);
        if (change.gone)
        {
            if (existing != upstreams_.end() && existing->second.row.born_ms <= change.row.born_ms)
            {
                note_failed(existing->second);
                statements_.note_removed(id, change.row.born_ms, now);
                upstreams_.erase(existing);
            }
            continue;
        }
        bool const new_incarnation =
            existing == upstreams_.end() || existing->second.row.born_ms != change.row.born_ms;
        if (new_incarnation)
        {
            upstream_state initial;
            initial.rates_at = now;
            initial.other_hosts_load_at = now;
            statements_.note_registered(id, change.row.born_ms);
            initial.stated = statements_.find(id, change.row.born_ms);
            initial.resuming = now < initial.stated.paused_until;
            upstreams_[id] = initial;
        }
        upstream_state& state = upstreams_[id];
        state.row = change.row;
        state.replaced = false;
        auto const region = settings_.regions.find(change.row.domain);
        state.region = region == settings_.regions.end() ? region_name() : region->second;
        state.cold_until = std::max(state.cold_until, now + milliseconds(change.cold_left_ms));
    }
    if (changes.whole)
        warms_from_ = now + list_wait;
    if (changes.whole)
        std::erase_if(upstreams_,
                      [&](auto const& item)
                      {
                          bool const is_removed = !listed.contains(item.first);
                          if (!is_removed)
                              return false;
                          note_failed(item.second);
                          statements_.note_removed(item.first, item.second.row.born_ms, now);
                          return true;
                      });
    statements_.trim(now);
    evacuated_ = {changes.evacuated.begin(), changes.evacuated.end()};
    if (!changes.entries.empty())
        entry_hashes_ = changes.entries;
    by_service_.clear();
    homes_.clear();
    for (auto& [id, state] : upstreams_)
    {
        by_service_[state.row.service].push_back(&state);
        if (!evacuated_.contains(state.row.domain))
            homes_[state.row.service][state.region].push_back(&state);
    }
    update_region_shares(now);
}

bool upstream_selector::may_send_while_cold(upstream_state const& state) const
{
    if (entry_hashes_.size() <= max_warmup_hosts)
        return true;
    std::string const& id = state.row.id.value();
    std::uint64_t const seed = XXH3_64bits(id.data(), id.size());
    auto const score = [seed](std::uint64_t host)
    { return XXH3_64bits_withSeed(&host, sizeof host, seed); };
    std::uint64_t const self = entry_hash(settings_.self);
    auto const own = score(self);
    std::size_t ahead = 0;
    for (std::uint64_t const host : entry_hashes_)
        if (host != self && score(host) > own)
            ++ahead;
    return ahead < max_warmup_hosts;
}

instant upstream_selector::cold_send_from(upstream_state const& state) const
{
    return std::max(state.next_cold_send, warms_from_);
}

double upstream_selector::warmup_spacing_ms(upstream_state const& state) const
{
    auto const service = services_.find(state.row.service);
    double const per_s = service == services_.end() ? 1 : service->second.warmup_per_s;
    return max_warmup_hosts * warmup_margin * 1000 / std::max(per_s, 0.1);
}

bool upstream_selector::usable(upstream_state const& state, pick_request const& request,
                               instant now, bool ejected_too) const
{
    // Ejection ends early where nothing else is left; a statement of the upstream does not.
    if (state.is_leaving() || state.replaced || now < state.stated.paused_until)
        return false;
    if (state.resuming && state.in_flight > 0)
        return false;
    if (evacuated_.contains(state.row.domain) || request.tried.contains(state.row.id))
        return false;
    if (!is_allowed(state.region, request.allowed_regions()))
        return false;
    if (!ejected_too && now < state.ejected_until)
        return false;
    if (now < state.cold_until)
        return now >= cold_send_from(state) && may_send_while_cold(state);
    return true;
}

double upstream_selector::occupancy(upstream_state const& state, instant now) const
{
    return state.in_flight + state.other_hosts_load * state.load_weight(now);
}

double upstream_selector::round_trip_ms(upstream_state const& state) const
{
    auto const known = connect_ms_.find(state.row.domain);
    if (known != connect_ms_.end())
        return known->second;
    if (state.row.domain == settings_.domain)
        return own_domain_round_trip_ms;
    return state.region == settings_.region ? own_region_round_trip_ms : other_region_round_trip_ms;
}

upstream_selector::service_time& upstream_selector::service_time_of(route_config const& route)
{
    service_time& time = service_times_[route.name];
    if (time.home_ms <= 0)
        time = {route.objective_ms * initial_home_fraction,
                route.objective_ms * initial_other_fraction};
    return time;
}

void upstream_selector::predict(candidate& item, pick_request const& request, instant now)
{
    upstream_state const& state = *item.state;
    service_time const& time = service_time_of(request.route);
    double const age_weight = state.rates_weight(now);
    double const slowness = (1 + (state.slowness - 1) * age_weight) * state.expected_pace(now);
    double const away = std::max(time.other_ms, time.home_ms * min_away_factor);
    double const work = (item.place == 0 ? time.home_ms : away) * slowness;
    double const slots = std::max<std::uint32_t>(state.row.slots, 1);
    double const ahead = std::max(0.0, occupancy(state, now) + 1 - slots);
    item.wait_ms = ahead / slots * (time.home_ms + away) / 2 * slowness;
    double const failing = std::min(0.9, state.failure_rate * age_weight);
    item.answer_ms = round_trip_ms(state) + item.wait_ms + work;
    item.cost_ms = item.answer_ms + failing * request.route.objective_ms * 2;
}

double upstream_selector::lateness_ms(candidate const& item, pick_request const& request,
                                      instant now) const
{
    double const left = std::chrono::duration<double, std::milli>(request.deadline - now).count();
    double const left_of_host =
        std::chrono::duration<double, std::milli>(request.host_stops_at - now).count();
    // A late answer from a free slot delays no other request, and the upstream has the object
    // cached afterwards.
    double const queued_too_long =
        item.wait_ms <= 0
            ? 0
            : item.cost_ms - max_queued_answer_objectives * request.route.objective_ms;
    return std::max(
        {item.answer_ms - left, item.answer_ms * stop_margin - left_of_host, queued_too_long});
}

double upstream_selector::next_usable_ms(pick_request const& request, instant now) const
{
    auto const of_service = by_service_.find(request.service);
    if (of_service == by_service_.end())
        return 0;
    instant earliest = instant::max();
    for (auto const* state : of_service->second)
    {
        bool const is_cold = now < state->cold_until;
        bool const is_pausing = now < state->stated.paused_until;
        bool const is_out = state->is_leaving() || state->replaced ||
                            evacuated_.contains(state->row.domain) ||
                            (is_cold && !may_send_while_cold(*state));
        if (is_out || (!is_cold && !is_pausing))
            continue;
        instant const next_cold_send = is_cold ? cold_send_from(*state) : instant();
        earliest = std::min(earliest, std::max(state->stated.paused_until, next_cold_send));
    }
    return earliest == instant::max() ? 0 : remaining_ms(earliest, now);
}

std::optional<pick> upstream_selector::choose(pick_request const& request, instant now,
                                              pick_refusal& refusal)
{
    std::vector<candidate> found = candidates(request, now);
    if (found.empty())
    {
        refusal = {pick_failure::none_usable, next_usable_ms(request, now)};
        return std::nullopt;
    }
    bool const keyed = request.route.affinity && !request.object.empty();
    std::uint64_t const object = keyed ? object_hash(request.service, request.object) : random_();
    gradual_shares& shares = region_shares_of(request.service, request.allowed_regions(), now);
    if (keyed)
        rank_homes(found, request.service, object, shares.at(now));
    else
        rank(found, object, shares.at(now));
    double& spill = spill_tokens_[request.service];
    // Both move requests to other regions, and the limit is on their sum.
    spill = shares.is_moving() ? 0 : std::min(max_spill_tokens, spill + settings_.max_spill_ratio);
    region_name home_region;
    for (auto const& item : found)
        if (item.place == 0)
            home_region = item.state->region;
    candidate* best = nullptr;
    candidate* best_at_home = nullptr;
    for (auto& item : found)
    {
        predict(item, request, now);
        if (best == nullptr || item.cost_ms < best->cost_ms)
            best = &item;
        bool const at_home = home_region == region_name() || item.state->region == home_region;
        if (at_home && (best_at_home == nullptr || item.cost_ms < best_at_home->cost_ms))
            best_at_home = &item;
    }
    if (best_at_home != nullptr && best != best_at_home)
    {
        if (spill >= 1)
            spill -= 1;
        else
            best = best_at_home;
    }
    if (double const late = lateness_ms(*best, request, now); late > 0)
    {
        refusal = {pick_failure::too_late, late};
        return std::nullopt;
    }
    upstream_state& state = *best->state;
    ++state.in_flight;
    if (now < state.cold_until)
        state.next_cold_send =
            now + microseconds(static_cast<std::int64_t>(warmup_spacing_ms(state) * 1000));
    return pick{state.row.id,
                state.row.born_ms,
                state.row.address,
                best->cost_ms,
                best->wait_ms,
                best->place,
                state.region != settings_.region};
}

} // namespace guavashed
