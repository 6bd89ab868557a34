/// \file
/// Defines upstream_pool, the upstreams of one service whose home is this entry host.
///
/// An upstream has one home at a time: the entry host with which it renews its lease. Only the home
/// sends work to it, so the home knows exactly how many of its slots are in use, and two hosts
/// cannot together exceed them.
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
    /// Gets no work yet, since its previous home may still send some.
    fenced,
    /// In slow start.
    warming,
    serving,
    /// Gets no work for a while after consecutive failures.
    ejected,
    /// Its lease has expired.
    silent,
    /// Draining.
    leaving,
    /// Handed over to another home.
    moved,
    /// No longer tracked; its place may be reused.
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

/// Names of states and events for `charts/upstream.json`, in the order of the enums.
chart_vocabulary upstream_vocabulary();

/// What an upstream reports when it announces itself to its home or renews its lease.
struct upstream_announcement
{
    upstream_name name;
    service_name service;
    endpoint_text endpoint;
    region_name region;
    failure_domain_name domain;
    slot_count slots;
    incarnation life;
    /// Slots occupied by work that another home, or an earlier incarnation of this one, sent.
    slot_count in_flight_elsewhere;
    /// Time for which its previous home may still send work; 0 when it renews with this one.
    milliseconds previous_lease_left{0};
    /// Recent service time as the upstream itself reports it; may lag or be wrong.
    microseconds reported_service{0};
    /// The upstream asks for slow start.
    bool cold = false;
    /// The upstream asks to be drained.
    bool leaving = false;
    /// Number of the newest acceptance that it has received from this home, 0 for none. The lease
    /// runs from when the home sent it, so that a delayed announcement does not extend the lease.
    std::uint64_t acceptance = 0;
};

/// How an attempt ended, as input to outlier detection.
enum class work_ending
{
    answered,
    shed,
    failed,
    cancelled
};

/// A picked upstream: its endpoint, and the position to pass to release.
struct upstream_pick
{
    std::size_t position = 0;
    endpoint_text endpoint;
    upstream_name name;
    /// Time from which this home must not send to it.
    instant lease_until;
};

/// Tracks the state and the used slots of each upstream and picks one for each attempt.
///
/// Example: `if (auto pick = pool.pick(now)) ...`
/// Thread safety: none; used from the decision event loop only.
class upstream_pool
{
public:
    /// Called with the new state's name at each state change of an upstream.
    using on_change = std::function<void(upstream_name const&, std::string const& state)>;

    /// Precondition: `rules` outlives the pool.
    explicit upstream_pool(chart const& rules, on_change changed = {});

    /// Applies an announcement or a renewal; this home may send until `lease_until`. Announcements
    /// of an older incarnation are ignored.
    void announce(instant now, upstream_announcement const& announced, instant lease_until);
    /// Picks the upstream with a free slot that has the least expected load and occupies the slot;
    /// none when no slot is free.
    std::optional<upstream_pick> pick(instant now);
    /// Frees the slot that `pick` occupied. Precondition: `position` came from `pick`.
    void release(instant now, std::size_t position, work_ending ending, microseconds took);
    /// Applies ended leases and ejections and removes drained upstreams. To be called a few times a
    /// second.
    void tick(instant now);
    /// Drains an upstream: it gets no new work. Unknown names are ignored.
    void leave(upstream_name const& name);
    /// Stops sending to an upstream that moves to another home. Unknown names are ignored.
    void hand_over(upstream_name const& name);

    /// Slots of all upstreams that may be in use now, with slow start and ejection applied.
    slot_count usable_slots(instant now) const;
    /// Attempts that this host has in flight to its upstreams.
    slot_count in_flight() const { return slot_count(in_flight_); }
    /// Moving average of the service time over the pool.
    microseconds mean_service() const { return microseconds(static_cast<std::int64_t>(mean_us_)); }
    /// Estimate of about the 95th percentile of the service time.
    microseconds p95_service() const;
    /// Time without an answer after which an idempotent request is tried at another upstream.
    microseconds attempt_timeout() const;
    bool has_free_slot(instant now) const;

    /// One upstream as the status and explain pages show it.
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
    /// Names of the upstreams whose home is this host: they hold a lease, or have just announced
    /// themselves to get one. Unordered.
    std::vector<upstream_name> renewing() const;

private:
    /// An upstream and what this home has observed of it.
    struct member
    {
        upstream_announcement announced;
        chart_state<upstream_state, upstream_event> lifecycle;
        instant lease_until;
        /// The upstream is silent from then on. Later than the end of the lease where the upstream
        /// has just announced itself and holds no lease yet.
        instant renewal_due;
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
    /// True when the upstream had another home since it last announced itself here.
    static bool has_returned(member const& item, upstream_announcement const& announced);
    member& add(instant now, upstream_announcement const& announced);
    void apply_announcement(member& item, instant now);
    std::uint32_t allowed_slots(member const& item, instant now) const;
    std::uint32_t free_slots(member const& item, instant now) const;
    void apply_event(member& item, upstream_event event);
    void record_answer(member& item, microseconds took);
    void record_failure(member& item, instant now);
    /// True when another working upstream remains and at most half of the upstreams are then
    /// ejected.
    bool may_eject() const;

    chart const& rules_;
    on_change changed_;
    std::vector<member> members_;
    std::uint32_t in_flight_ = 0;
    double mean_us_ = 50'000;
    double deviation_us_ = 25'000;
};

} // namespace guavashed
