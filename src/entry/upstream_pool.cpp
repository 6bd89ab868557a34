// Defines the life cycle of a service's upstreams at their home (lease, fence, slow start,
// ejection, hand-over) and the choice of the upstream for a request.
#include "entry/upstream_pool.hpp"

#include "base/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace guavashed
{
namespace
{

/// Weight of a new sample in the moving averages of service time and deviation.
constexpr double ewma_weight = 0.05;
/// Consecutive failures after which an upstream is ejected.
constexpr std::uint32_t failures_to_eject = 5;
/// Answers after which an upstream in slow start gets one more slot.
constexpr std::uint32_t answers_per_warm_slot = 3;
constexpr std::uint32_t max_slots_per_upstream = 100'000;
/// An upstream that has just been accepted quotes the acceptance, which starts its lease, within
/// this time: an announcement that times out and its repetition, on a busy host.
constexpr milliseconds first_renewal_window{2000};
/// Duration of the first ejection; each further one lasts twice as long, up to the limit of
/// doublings.
constexpr milliseconds first_ejection_duration{1000};
constexpr std::uint32_t max_ejection_doublings = 5;
/// An attempt times out after twice the mean service time and this many mean absolute deviations.
constexpr double attempt_timeout_deviations = 6.0;
/// About the 95th percentile of an exponential tail, in mean absolute deviations.
constexpr double p95_deviations = 3.0;
constexpr microseconds min_attempt_timeout{250'000};

} // namespace

chart_vocabulary upstream_vocabulary()
{
    return {{"fenced", "warming", "serving", "ejected", "silent", "leaving", "moved", "gone"},
            {"fence_passed", "warmed", "outlier", "ejection_ended", "renewed", "lease_ended",
             "leave", "hand_over", "emptied", "cold", "returned"}};
}

upstream_pool::upstream_pool(chart const& rules, on_change changed)
    : rules_(rules), changed_(std::move(changed))
{
}

/// The member with the upstream's newest incarnation. A member of an older incarnation may still
/// exist until its attempts have ended.
upstream_pool::member* upstream_pool::find(upstream_name const& name)
{
    member* newest = nullptr;
    for (auto& item : members_)
    {
        if (item.announced.name != name || item.lifecycle.state() == upstream_state::gone)
            continue;
        if (newest == nullptr || newest->announced.life < item.announced.life)
            newest = &item;
    }
    return newest;
}

void upstream_pool::apply_event(member& item, upstream_event event)
{
    if (item.lifecycle.fire(event) && changed_)
        changed_(item.announced.name, item.lifecycle.name());
}

void upstream_pool::announce(instant now, upstream_announcement const& announced,
                             instant lease_until)
{
    member* item = find(announced.name);
    if (item != nullptr && announced.life < item->announced.life)
        return;
    if (item != nullptr && item->announced.life < announced.life)
    {
        // The older incarnation has ended, with all work that it held. Its member stays until this
        // host has received the results of its attempts there.
        apply_event(*item, upstream_event::hand_over);
        item = nullptr;
    }
    if (item != nullptr && has_returned(*item, announced))
    {
        // Work that this host sent before the upstream moved away still occupies slots, so the
        // member is kept.
        item->fence_until = now + announced.previous_lease_left;
        item->warm_slots = 1;
        apply_event(*item, upstream_event::returned);
    }
    if (item == nullptr)
        item = &add(now, announced);
    item->announced = announced;
    item->announced.slots = slot_count(std::min(announced.slots.value(), max_slots_per_upstream));
    item->lease_until = lease_until;
    item->renewal_due = std::max(lease_until, now + first_renewal_window);
    apply_announcement(*item, now);
}

bool upstream_pool::has_returned(member const& item, upstream_announcement const& announced)
{
    if (item.lifecycle.state() == upstream_state::moved)
        return true;
    return announced.previous_lease_left.count() > 0 &&
           item.lifecycle.state() != upstream_state::fenced;
}

upstream_pool::member& upstream_pool::add(instant now, upstream_announcement const& announced)
{
    auto const reusable =
        std::find_if(members_.begin(), members_.end(),
                     [](member const& old) {
                         return old.lifecycle.state() == upstream_state::gone && old.in_flight == 0;
                     });
    member fresh{announced, chart_state<upstream_state, upstream_event>(rules_), {}, {}, {}, {}};
    fresh.mean_us = mean_us_;
    fresh.fence_until = now + announced.previous_lease_left;
    if (reusable != members_.end())
    {
        *reusable = std::move(fresh);
        return *reusable;
    }
    members_.push_back(std::move(fresh));
    return members_.back();
}

void upstream_pool::apply_announcement(member& item, instant now)
{
    if (item.announced.leaving)
        apply_event(item, upstream_event::leave);
    if (item.lifecycle.state() == upstream_state::fenced && now >= item.fence_until)
        apply_event(item, upstream_event::fence_passed);
    if (item.lifecycle.state() == upstream_state::silent)
    {
        item.warm_slots = 1;
        apply_event(item, upstream_event::renewed);
    }
    if (item.announced.cold && item.lifecycle.state() == upstream_state::serving)
    {
        item.warm_slots = 1;
        apply_event(item, upstream_event::cold);
    }
}

std::uint32_t upstream_pool::allowed_slots(member const& item, instant now) const
{
    if (now >= item.lease_until || now < item.fence_until)
        return 0;
    switch (item.lifecycle.state())
    {
    case upstream_state::serving:
        return item.announced.slots.value();
    case upstream_state::warming:
        return std::min(item.warm_slots, item.announced.slots.value());
    default:
        return 0;
    }
}

std::uint32_t upstream_pool::free_slots(member const& item, instant now) const
{
    std::uint32_t const occupied = item.in_flight + item.announced.in_flight_elsewhere.value();
    std::uint32_t const allowed = allowed_slots(item, now);
    return allowed > occupied ? allowed - occupied : 0;
}

std::optional<upstream_pick> upstream_pool::pick(instant now)
{
    member* best = nullptr;
    double best_cost = 0;
    for (auto& item : members_)
    {
        if (free_slots(item, now) == 0)
            continue;
        double const load = (item.in_flight + 1.0) / item.announced.slots.value();
        double const cost = load * std::max(1.0, item.mean_us);
        if (best == nullptr || cost < best_cost)
        {
            best = &item;
            best_cost = cost;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    ++best->in_flight;
    ++in_flight_;
    GUAVASHED_INVARIANT(best->in_flight + best->announced.in_flight_elsewhere.value() <=
                        best->announced.slots.value())
        << "upstream " << best->announced.name << " in state " << best->lifecycle.name()
        << " holds " << best->in_flight << " of " << best->announced.slots << " slots";
    return upstream_pick{static_cast<std::size_t>(best - members_.data()), best->announced.endpoint,
                         best->announced.name, best->lease_until};
}

void upstream_pool::release(instant now, std::size_t position, work_ending ending,
                            microseconds took)
{
    GUAVASHED_INVARIANT(position < members_.size() && members_[position].in_flight > 0)
        << "release at position " << position << " of " << members_.size()
        << " without a slot in use there";
    member& item = members_[position];
    --item.in_flight;
    --in_flight_;
    switch (ending)
    {
    case work_ending::answered:
        record_answer(item, took);
        break;
    case work_ending::failed:
    case work_ending::shed:
        record_failure(item, now);
        break;
    case work_ending::cancelled:
        break;
    }
}

void upstream_pool::record_answer(member& item, microseconds took)
{
    double const us = static_cast<double>(took.count());
    item.mean_us += ewma_weight * (us - item.mean_us);
    deviation_us_ += ewma_weight * (std::abs(us - mean_us_) - deviation_us_);
    mean_us_ += ewma_weight * (us - mean_us_);
    item.failures_in_row = 0;
    ++item.served;
    if (item.lifecycle.state() != upstream_state::warming)
        return;
    if (++item.warm_answers < answers_per_warm_slot)
        return;
    item.warm_answers = 0;
    if (++item.warm_slots > item.announced.slots.value())
    {
        item.ejection_count = 0;
        apply_event(item, upstream_event::warmed);
    }
}

bool upstream_pool::may_eject() const
{
    std::size_t working = 0;
    for (auto const& item : members_)
        if (item.lifecycle.state() == upstream_state::serving ||
            item.lifecycle.state() == upstream_state::warming)
            ++working;
    std::size_t ejected = 0;
    for (auto const& item : members_)
        if (item.lifecycle.state() == upstream_state::ejected)
            ++ejected;
    return working > 1 && (ejected + 1) * 2 <= working + ejected;
}

void upstream_pool::record_failure(member& item, instant now)
{
    if (++item.failures_in_row < failures_to_eject || !may_eject())
        return;
    item.failures_in_row = 0;
    item.ejected_until = now + first_ejection_duration * (1U << item.ejection_count);
    item.ejection_count = std::min(item.ejection_count + 1, max_ejection_doublings);
    apply_event(item, upstream_event::outlier);
}

void upstream_pool::tick(instant now)
{
    for (auto& item : members_)
    {
        upstream_state const state = item.lifecycle.state();
        if (state == upstream_state::ejected && now >= item.ejected_until)
        {
            item.warm_slots = 1;
            apply_event(item, upstream_event::ejection_ended);
        }
        if (now >= item.renewal_due)
            apply_event(item, upstream_event::lease_ended);
        bool const finished = state == upstream_state::leaving || state == upstream_state::moved ||
                              state == upstream_state::silent;
        if (finished && item.in_flight == 0 && now >= item.lease_until)
            apply_event(item, upstream_event::emptied);
    }
}

void upstream_pool::leave(upstream_name const& name)
{
    if (member* item = find(name))
        apply_event(*item, upstream_event::leave);
}

void upstream_pool::hand_over(upstream_name const& name)
{
    if (member* item = find(name))
        apply_event(*item, upstream_event::hand_over);
}

slot_count upstream_pool::usable_slots(instant now) const
{
    std::uint32_t sum = 0;
    for (auto const& item : members_)
        sum += allowed_slots(item, now);
    return slot_count(sum);
}

bool upstream_pool::has_free_slot(instant now) const
{
    return std::any_of(members_.begin(), members_.end(),
                       [&](member const& item) { return free_slots(item, now) > 0; });
}

microseconds upstream_pool::p95_service() const
{
    return microseconds(static_cast<std::int64_t>(mean_us_ + p95_deviations * deviation_us_));
}

microseconds upstream_pool::attempt_timeout() const
{
    auto const us =
        static_cast<std::int64_t>(mean_us_ * 2 + attempt_timeout_deviations * deviation_us_);
    return std::max(min_attempt_timeout, microseconds(us));
}

std::vector<upstream_pool::row> upstream_pool::rows() const
{
    std::vector<row> out;
    for (auto const& item : members_)
        if (item.lifecycle.state() != upstream_state::gone)
            out.push_back({item.announced.name, item.lifecycle.name(), item.announced.region,
                           item.announced.slots, slot_count(item.in_flight),
                           microseconds(static_cast<std::int64_t>(item.mean_us)), item.served,
                           item.ejection_count});
    return out;
}

std::vector<upstream_name> upstream_pool::renewing() const
{
    std::vector<upstream_name> out;
    for (auto const& item : members_)
    {
        upstream_state const state = item.lifecycle.state();
        if (state != upstream_state::gone && state != upstream_state::moved &&
            state != upstream_state::silent)
            out.push_back(item.announced.name);
    }
    return out;
}

} // namespace guavashed
