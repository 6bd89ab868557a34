/// \file
/// Defines upstream_pool, the upstreams of one service that are homed at this entry host.
///
/// An upstream has one home at a time: the entry host to which it renews its announcement. Only the
/// home sends work to it, so the home knows its slots exactly and no two hosts can overrun them.
#pragma once

#include "base/chart.hpp"
#include "base/ids.hpp"
#include "base/instant.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace guavashed
{

enum class upstream_state : std::uint8_t
{
    fenced,
    warming,
    serving,
    ejected,
    silent,
    leaving,
    moved,
    gone
};

enum class upstream_event : std::uint8_t
{
    fence_passed,
    warmed,
    outlier,
    ejection_ended,
    renewed,
    lease_ended,
    leave,
    hand_over,
    emptied,
    cold,
    returned
};

/// States and events for `charts/upstream.json`, in the enums' order.
chart_vocabulary upstream_vocabulary();

/// What an upstream says of itself when it announces or renews.
struct upstream_announcement
{
    upstream_name name;
    service_name service;
    endpoint_text endpoint;
    region_name region;
    failure_domain_name domain;
    slot_count slots;
    incarnation life;
    /// Work in its slots that another home, or an earlier life of this one, sent.
    slot_count in_flight_elsewhere;
    /// How long its previous home may still send work; 0 when it renews with this one.
    milliseconds previous_lease_left{0};
    /// Time that its last pieces of work took, as it reports it; may lag or mislead.
    microseconds reported_service{0};
    bool cold = false;
    bool leaving = false;
    /// The newest acceptance that it has received from this home, 0 for none: a lease runs from
    /// when the home sent that one, so that an announcement held up on its way renews nothing.
    std::uint64_t acceptance = 0;
};

/// How one piece of work ended, as far as the upstream's health goes.
enum class work_ending
{
    answered,
    shed,
    failed,
    cancelled
};

/// A picked upstream: where to send, and the handle to give back.
struct upstream_pick
{
    std::size_t position = 0;
    endpoint_text endpoint;
    upstream_name name;
    /// When this home must stop sending to it.
    instant lease_until;
};

/// Thread safety: none; one decision duty owns it. Example: `if (auto pick = pool.pick(now)) ...`
class upstream_pool
{
public:
    /// Told of each change of an upstream's state.
    using on_change = std::function<void(upstream_name const&, std::string const& state)>;

    /// Precondition: `rules` outlives the pool.
    explicit upstream_pool(chart const& rules, on_change changed = {});

    /// Takes an announcement or a renewal; `lease_until` is when this home must stop sending.
    void announce(instant now, upstream_announcement const& announced, instant lease_until);
    /// Takes the best upstream with a free slot and occupies the slot; none when there is no one.
    std::optional<upstream_pick> pick(instant now);
    /// Frees the slot that `pick` occupied. Precondition: `position` came from `pick`.
    void release(instant now, std::size_t position, work_ending ending, microseconds took);
    /// Moves states whose deadlines have passed. Call a few times a second.
    void tick(instant now);
    /// The operator or the upstream itself wants no new work on it; unknown names are ignored.
    void leave(upstream_name const& name);
    /// Stops sending because another entry host becomes its home; unknown names are ignored.
    void hand_over(upstream_name const& name);

    /// Slots that may be used now, warming and ejection counted.
    slot_count usable_slots(instant now) const;
    /// Work that this host has on its upstreams.
    slot_count in_flight() const { return slot_count(in_flight_); }
    /// Mean time that work holds a slot, over the pool.
    microseconds mean_service() const { return microseconds(static_cast<std::int64_t>(mean_us_)); }
    /// Time within which nearly all work is done.
    microseconds late_service() const;
    /// Longest that an attempt may stay silent before another upstream is tried.
    microseconds patience() const;
    bool has_free_slot(instant now) const;

    /// One upstream as status and explain show it.
    struct row
    {
        upstream_name name;
        std::string state;
        region_name region;
        slot_count slots;
        slot_count in_flight;
        microseconds mean_service{0};
        std::uint64_t served = 0;
        std::uint64_t ejections = 0;
    };
    std::vector<row> rows() const;
    /// Names of upstreams that still renew here. Unordered.
    std::vector<upstream_name> renewing() const;

private:
    struct member
    {
        upstream_announcement announced;
        chart_state<upstream_state, upstream_event> lifecycle;
        instant lease_until;
        instant fence_until;
        instant ejected_until;
        std::uint32_t in_flight = 0;
        std::uint32_t warm_slots = 1;
        std::uint32_t warm_answers = 0;
        std::uint32_t failures_in_row = 0;
        std::uint32_t ejection_count = 0;
        double mean_us = 0;
        std::uint64_t served = 0;
    };

    member* find(upstream_name const& name);
    /// True when the upstream had another home since it was last here.
    static bool has_returned(member const& item, upstream_announcement const& announced);
    member& add(instant now, upstream_announcement const& announced);
    void apply_announcement(member& item, instant now);
    std::uint32_t allowed_slots(member const& item, instant now) const;
    std::uint32_t free_slots(member const& item, instant now) const;
    void apply_event(member& item, upstream_event event);
    void record_answer(member& item, microseconds took);
    void record_failure(member& item, instant now);
    bool may_eject() const;

    chart const& rules_;
    on_change changed_;
    std::vector<member> members_;
    std::uint32_t in_flight_ = 0;
    double mean_us_ = 50'000;
    double deviation_us_ = 25'000;
};

} // namespace guavashed
