// Updates the estimated state of upstreams from the outcomes of attempts.
#include "base/log.hpp"
#include "routing/upstream_selector.hpp"

#include <algorithm>
#include <cmath>

namespace guavashed
{
namespace
{

/// Half-life of a load report.
constexpr double load_half_life_ms = 400;
/// Half-life of a reported pace, which changes many times a second.
constexpr double pace_half_life_ms = 150;
/// Half-life of slowness and failure rate without a new outcome.
constexpr double rate_half_life_ms = 4000;
constexpr double smoothing_factor = 0.1;
constexpr double max_slowness = 12;
constexpr double min_pace = 0.2;
constexpr milliseconds base_ejection{500};
constexpr milliseconds max_ejection{4000};
/// Consecutive failures after which an upstream that accepts connections is ejected.
constexpr std::uint32_t failures_to_eject = 3;

/// Weight of an observation made at `since`.
double decay(double half_life_ms, instant since, instant now)
{
    double const age = std::chrono::duration<double, std::milli>(now - since).count();
    return std::exp2(-std::max(0.0, age) / half_life_ms);
}

} // namespace

double upstream_selector::upstream_state::load_weight(instant now) const
{
    return decay(load_half_life_ms, other_hosts_load_at, now);
}

double upstream_selector::upstream_state::expected_pace(instant now) const
{
    return 1 + (pace - 1) * decay(pace_half_life_ms, other_hosts_load_at, now);
}

double upstream_selector::upstream_state::rates_weight(instant now) const
{
    return decay(rate_half_life_ms, rates_at, now);
}

void upstream_selector::eject(upstream_state& state, instant now)
{
    auto const doublings = std::min<std::uint32_t>(state.failures_in_row, 4);
    auto const ejection = std::min(max_ejection, base_ejection * (1 << doublings) / 2);
    state.ejected_until = now + ejection;
    log_change(log_level::warning, "upstream_ejected",
               "upstream=" + state.row.id.value() + " address=" + state.row.address.value() +
                   " failures_in_row=" + std::to_string(state.failures_in_row) +
                   " for_ms=" + std::to_string(ejection.count()));
}

void upstream_selector::learn_time(upstream_state& state, pick const& chosen,
                                   std::string const& route, double took_ms, instant now)
{
    auto const known = service_times_.find(route);
    if (known == service_times_.end())
        return;
    double& expected = chosen.place == 0 ? known->second.home_ms : known->second.other_ms;
    // What other work on its host costs passes soon and indicates nothing about the upstream.
    double const work =
        std::max(1.0, took_ms - round_trip_ms(state) - chosen.wait_ms) / std::max(1.0, state.pace);
    double const ratio = std::clamp(work / std::max(1.0, expected), 0.3, max_slowness);
    double const age_weight = state.rates_weight(now);
    double const before = 1 + (state.slowness - 1) * age_weight;
    state.slowness = before + (ratio - before) * smoothing_factor * 2;
    state.failure_rate *= age_weight * (1 - smoothing_factor);
    state.rates_at = now;
    // A slow upstream must not raise the estimate of the route's usual service time.
    if (before < 2)
        expected += (std::min(work, expected * 3) - expected) * smoothing_factor / 2;
}

void upstream_selector::learn_statements(pick const& chosen, attempt_report const& outcome,
                                         upstream_state* state, instant now)
{
    if (!outcome.is_leaving && !outcome.pause_ms)
        return;
    bool const is_new = !statements_.find(chosen.id, chosen.born_ms).is_leaving;
    if (outcome.is_leaving)
        statements_.note_leaving(chosen.id, chosen.born_ms, now, outcome.answered_ms);
    if (outcome.is_leaving && is_new)
    {
        ++leaving_stated_;
        log_change(log_level::info, "upstream_leaving",
                   "upstream=" + chosen.id.value() + " address=" + chosen.address.value() +
                       " born_ms=" + std::to_string(chosen.born_ms) + " source=answer");
    }
    if (outcome.pause_ms && *outcome.pause_ms > 0)
    {
        ++pauses_stated_;
        instant const until = pause_end(now, milliseconds(*outcome.pause_ms),
                                        std::uniform_real_distribution<double>()(random_));
        statements_.note_pause(chosen.id, chosen.born_ms, until, now, outcome.answered_ms);
        log_change(log_level::info, "upstream_paused",
                   "upstream=" + chosen.id.value() + " address=" + chosen.address.value() +
                       " asked_ms=" + std::to_string(*outcome.pause_ms) +
                       " for_ms=" + std::to_string(remaining_ms(until, now)));
        if (state != nullptr)
            state->resuming = true;
    }
    if (state != nullptr)
    {
        state->stated = statements_.find(chosen.id, chosen.born_ms);
        if (is_new && outcome.is_leaving)
            update_region_shares(now);
    }
    else
        statements_.note_removed(chosen.id, chosen.born_ms, now);
}

void upstream_selector::report(pick const& chosen, std::string const& route,
                               attempt_report const& outcome, instant now)
{
    auto const at = upstreams_.find(chosen.id);
    bool const is_known = at != upstreams_.end() && at->second.row.born_ms == chosen.born_ms;
    learn_statements(chosen, outcome, is_known ? &at->second : nullptr, now);
    if (!is_known)
        return;
    upstream_state& state = at->second;
    if (state.in_flight > 0)
        --state.in_flight;
    if (outcome.connect_ms)
    {
        double& known =
            connect_ms_.try_emplace(state.row.domain, *outcome.connect_ms).first->second;
        known += (*outcome.connect_ms - known) * smoothing_factor;
    }
    if (outcome.cold_left_ms && *outcome.cold_left_ms > 0)
        state.cold_until = std::max(state.cold_until, now + milliseconds(*outcome.cold_left_ms));
    if (outcome.load)
    {
        double const all = outcome.load->running + outcome.load->waiting;
        state.other_hosts_load = std::max(0.0, all - state.in_flight - 1);
        state.other_hosts_load_at = now;
        state.pace = std::clamp(outcome.load->pace, min_pace, max_slowness);
    }
    double const age_weight = state.rates_weight(now);
    switch (outcome.result)
    {
    case attempt_result::answered:
        state.failures_in_row = 0;
        state.resuming = false;
        return learn_time(state, chosen, route, outcome.took_ms, now);
    case attempt_result::shed:
        if (!outcome.load)
        {
            // Without a load report, assume that all slots are taken and as many requests wait.
            state.other_hosts_load = std::max(state.other_hosts_load, state.row.slots * 2.0);
            state.other_hosts_load_at = now;
        }
        state.failure_rate =
            state.failure_rate * age_weight * (1 - smoothing_factor) + smoothing_factor;
        state.rates_at = now;
        return;
    case attempt_result::misdirected:
        state.replaced = true;
        log_change(log_level::warning, "upstream_replaced",
                   "upstream=" + chosen.id.value() + " address=" + chosen.address.value());
        return;
    case attempt_result::failed:
        state.failure_rate =
            state.failure_rate * age_weight * (1 - smoothing_factor) + smoothing_factor;
        state.rates_at = now;
        if (now < state.ejected_until)
            return;
        if (++state.failures_in_row >= failures_to_eject)
            eject(state, now);
        return;
    case attempt_result::unreachable:
        // Requests that were in flight together count as one failure.
        if (now < state.ejected_until)
            return;
        ++state.failures_in_row;
        // It may have restarted and be cold before its new announcement arrives.
        if (auto const service = services_.find(state.row.service); service != services_.end())
            state.cold_until = std::max(
                state.cold_until,
                now + milliseconds(static_cast<std::int64_t>(service->second.warmup_s * 1000)));
        return eject(state, now);
    case attempt_result::abandoned:
        return;
    }
}

} // namespace guavashed
