/// \file
/// Defines admission_queue, the admission control of one service: it decides which requests wait,
/// which runs next and which are refused.
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace guavashed
{

/// A request submitted for admission.
struct work_item
{
    request_id id;
    rank importance = rank::normal;
    /// Time after which the caller no longer waits for the answer.
    instant deadline;
    instant arrived;
    /// Hash of the caller's name, by which the waiting work of one caller is limited.
    std::uint64_t caller_hash = 0;
};

enum class admission_verdict
{
    queued,
    deadline_too_near,
    queue_full,
    caller_limit
};

/// The verdict's name as written in answers, logs and metrics. Thread safe.
char const* to_string(admission_verdict verdict);

/// Capacity of the service's upstreams and the service times measured on them.
struct service_rate
{
    slot_count slots;
    /// Mean time that a request occupies a slot.
    microseconds mean_service{50'000};
    /// High percentile of the service time. A request that has waited is sent only if this much
    /// time is left before its deadline, see needed_time.
    microseconds p95_service{100'000};
};

/// Time that must remain before `deadline` for a request that arrived at `arrived` to be worth
/// sending: `p95_service`, or, when the whole budget is under twice that, the mean service time
/// but no more than half of the budget. Thread safe.
microseconds needed_time(service_rate const& rate, instant arrived, instant deadline);

/// Scheduling policy: chooses the rank whose first waiting request is dispatched next.
class dispatch_order
{
public:
    virtual ~dispatch_order() = default;
    /// Rank to serve next, or none when nothing waits. `head_sequence` holds the arrival number of
    /// each rank's first request, or `no_sequence` where none waits. Not thread safe.
    virtual std::optional<rank>
    choose(std::array<std::uint64_t, rank_count> const& head_sequence) = 0;
    /// Share of the dispatches, 0 to 1, that `r` is guaranteed while the ranks in `waiting` have
    /// work waiting. Not thread safe.
    virtual double expected_share(rank r, std::array<bool, rank_count> const& waiting) const = 0;
    /// Whether a request whose deadline cannot be met is refused at submission. Thread safe.
    virtual bool refuses_unmeetable_deadlines() const = 0;
};

/// Marks a rank without waiting requests.
inline constexpr std::uint64_t no_sequence = ~std::uint64_t{0};

/// Priority order with a guaranteed share: each rank gets at least its floor, in thousandths of the
/// dispatches, while it has work waiting.
std::unique_ptr<dispatch_order> make_ranked_order(std::array<permille, rank_count> const& floors);
/// Strict priority order without floors, for comparison: lower ranks can starve.
std::unique_ptr<dispatch_order> make_strict_order();
/// First come, first served, without refusal at submission; the baseline for comparison.
std::unique_ptr<dispatch_order> make_arrival_order();

/// Bounded queue of the waiting requests of one service at one entry host. Allocates at
/// construction only.
///
/// Example:
///     admission_queue queue(make_ranked_order(floors), limits);
///     if (queue.submit(now, item, rate) == admission_verdict::queued) ...
///     while (free_slot) if (auto next = queue.take(now)) send(*next);
///
/// Thread safety: none; used from the decision event loop only.
class admission_queue
{
public:
    /// Greatest numbers of waiting requests, in all and for one caller.
    struct limits
    {
        std::size_t capacity = 8192;
        std::uint32_t per_caller = 256;
    };

    admission_queue(std::unique_ptr<dispatch_order> order, limits bounds);

    /// Queues the request, or returns the reason for refusing it. `rate.slots` may be 0: the
    /// expected wait is then an hour, and requests with an earlier deadline are refused.
    admission_verdict submit(instant now, work_item const& item, service_rate const& rate);

    /// Removes and returns the next request to run, if any; its deadline may have passed, see
    /// take_expired.
    std::optional<work_item> take(instant now);

    /// Removes a waiting request whose caller has disconnected; false when no such request waits.
    bool cancel(request_id id);

    /// Removes and returns one request whose deadline has passed, if one is first in its rank.
    std::optional<work_item> take_expired(instant now);

    /// Estimated waiting time of a new request of that rank, from the requests of its rank ahead of
    /// it and the rank's expected share of the slots. An hour when there are no slots.
    microseconds expected_wait(rank importance, service_rate const& rate) const;

    /// Replaces the dispatch order; waiting requests stay queued. Precondition: not null.
    void replace_order(std::unique_ptr<dispatch_order> order);

    std::size_t waiting() const { return waiting_; }
    std::size_t waiting(rank importance) const { return lanes_[index_of(importance)].size; }

private:
    static constexpr std::uint32_t none = ~std::uint32_t{0};
    static constexpr std::size_t caller_counter_count = 4096;

    /// A waiting request, in the list of its rank and in a bucket of the id hash table. Nodes are
    /// linked by position in `nodes_`; free ones form a list from `free_head_`.
    struct node
    {
        work_item item;
        std::uint64_t sequence = 0;
        std::uint32_t next = none;
        std::uint32_t previous = none;
        std::uint32_t bucket_next = none;
    };

    /// FIFO list of one rank.
    struct lane
    {
        std::uint32_t head = none;
        std::uint32_t tail = none;
        std::size_t size = 0;
    };

    std::uint32_t& caller_count(std::uint64_t hash)
    {
        return caller_counters_[hash % caller_counter_count];
    }
    std::size_t bucket_of(request_id id) const { return id.value() % buckets_.size(); }
    void link(std::uint32_t position);
    work_item unlink(std::uint32_t position);
    void unlink_bucket(std::uint32_t position);

    std::unique_ptr<dispatch_order> order_;
    limits limits_;
    std::vector<node> nodes_;
    /// Hash table from request id to node, for cancel.
    std::vector<std::uint32_t> buckets_;
    /// Waiting requests by hash of the caller; callers whose hashes collide share a counter.
    std::vector<std::uint32_t> caller_counters_;
    std::uint32_t free_head_ = none;
    std::array<lane, rank_count> lanes_{};
    std::size_t waiting_ = 0;
    std::uint64_t next_sequence_ = 0;
};

} // namespace guavashed
