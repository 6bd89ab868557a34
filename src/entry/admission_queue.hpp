/// \file
/// Defines admission_queue, which decides what of one service waits, runs next or is refused.
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

/// One piece of work that asks to be admitted.
struct work_item
{
    request_id id;
    rank importance = rank::normal;
    /// When the caller no longer wants the answer.
    instant deadline;
    instant arrived;
    /// Hash of the caller's name: a caller's waiting work is bounded.
    std::uint64_t caller_hash = 0;
};

enum class admission_verdict
{
    queued,
    deadline_too_near,
    queue_full,
    caller_limit
};

/// The verdict's name for answers, logs and metrics. Thread safe.
char const* to_string(admission_verdict verdict);

/// What the queue knows of the slots behind it.
struct service_rate
{
    slot_count slots;
    /// Mean time that one piece of work holds a slot.
    microseconds mean_service{50'000};
    /// Time within which nearly all work is done; what has waited is sent only if it fits.
    microseconds late_service{100'000};
};

/// Time that must be left at `deadline` for work that arrived at `arrived` to be worth sending:
/// enough for nearly all work, or the mean where the caller's whole budget is small. Thread safe.
microseconds needed_time(service_rate const& rate, instant arrived, instant deadline);

/// Chooses which rank gives the next piece of work; waiting ranks only.
class dispatch_order
{
public:
    virtual ~dispatch_order() = default;
    /// Rank to serve next, none when nothing waits. `head_sequence` holds the arrival number of
    /// each rank's first item, `no_sequence` for an empty rank. Not thread safe.
    virtual std::optional<rank>
    choose(std::array<std::uint64_t, rank_count> const& head_sequence) = 0;
    /// Share of the dispatches that `r` can count on while all ranks wait. Not thread safe.
    virtual double expected_share(rank r, std::array<bool, rank_count> const& waiting) const = 0;
    /// Whether work is refused at once when its deadline cannot be met. Thread safe.
    virtual bool refuses_late_work() const = 0;
};

inline constexpr std::uint64_t no_sequence = ~std::uint64_t{0};

/// Urgent first, but each rank keeps its floor of the dispatches while it has work waiting.
std::unique_ptr<dispatch_order> make_ranked_order(std::array<permille, rank_count> const& floors);
/// Urgent first with nothing kept for the others; for comparison.
std::unique_ptr<dispatch_order> make_strict_order();
/// First come, first served with no refusal; the baseline for comparison.
std::unique_ptr<dispatch_order> make_arrival_order();

/// Waiting work of one service at one entry host. Allocates at construction only.
///
/// Example:
///     admission_queue queue(make_ranked_order(floors), limits);
///     if (queue.submit(now, item, rate) == admission_verdict::queued) ...
///     while (free_slot) if (auto next = queue.take(now)) send(*next);
///
/// Thread safety: none; one decision duty owns it.
class admission_queue
{
public:
    struct limits
    {
        std::size_t capacity = 8192;
        std::uint32_t per_caller = 256;
    };

    admission_queue(std::unique_ptr<dispatch_order> order, limits bounds);

    /// Queues the item or says at once why not. Precondition: `rate.slots` may be 0.
    admission_verdict submit(instant now, work_item const& item, service_rate const& rate);

    /// The next item to run; items whose deadline has passed are moved to `expired` instead.
    std::optional<work_item> take(instant now);

    /// Removes a waiting item whose caller has gone; false when it does not wait.
    bool cancel(request_id id);

    /// Takes out one item that missed its deadline while it waited, if any.
    std::optional<work_item> take_expired(instant now);

    /// Time that a new item of that rank would wait, from the work ahead of it.
    microseconds expected_wait(rank importance, service_rate const& rate) const;

    /// Replaces the order, keeping what waits. Precondition: not null.
    void replace_order(std::unique_ptr<dispatch_order> order);

    std::size_t waiting() const { return waiting_; }
    std::size_t waiting(rank importance) const { return lanes_[index_of(importance)].size; }

private:
    static constexpr std::uint32_t none = ~std::uint32_t{0};
    static constexpr std::size_t caller_counter_count = 4096;

    struct node
    {
        work_item item;
        std::uint64_t sequence = 0;
        std::uint32_t next = none;
        std::uint32_t previous = none;
        std::uint32_t bucket_next = none;
    };

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
    std::vector<std::uint32_t> buckets_;
    std::vector<std::uint32_t> caller_counters_;
    std::uint32_t free_head_ = none;
    std::array<lane, rank_count> lanes_{};
    std::size_t waiting_ = 0;
    std::uint64_t next_sequence_ = 0;
};

} // namespace guavashed
