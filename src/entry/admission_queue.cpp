// Defines admission control of one service: the refusals at submission, the per-rank queues and the
// estimate of the waiting time.
#include "entry/admission_queue.hpp"

#include "base/invariant.hpp"

#include <algorithm>

namespace guavashed
{

char const* to_string(admission_verdict verdict)
{
    switch (verdict)
    {
    case admission_verdict::queued:
        return "queued";
    case admission_verdict::deadline_too_near:
        return "deadline_too_near";
    case admission_verdict::queue_full:
        return "queue_full";
    case admission_verdict::caller_limit:
        return "caller_limit";
    }
    return "unnamed";
}

microseconds needed_time(service_rate const& rate, instant arrived, instant deadline)
{
    auto const budget = std::chrono::duration_cast<microseconds>(deadline - arrived);
    if (budget >= rate.p95_service * 2)
        return rate.p95_service;
    return std::min(rate.mean_service, budget / 2);
}

admission_queue::admission_queue(std::unique_ptr<dispatch_order> order, limits bounds)
    : order_(std::move(order)), limits_(bounds), nodes_(bounds.capacity),
      buckets_(bounds.capacity * 2 + 1, none), caller_counters_(caller_counter_count, 0)
{
    for (std::uint32_t i = 0; i < nodes_.size(); ++i)
    {
        nodes_[i].next = free_head_;
        free_head_ = i;
    }
}

void admission_queue::replace_order(std::unique_ptr<dispatch_order> order)
{
    GUAVASHED_INVARIANT(order != nullptr)
        << "admission queue given a null dispatch order with " << waiting_ << " requests waiting";
    order_ = std::move(order);
}

admission_verdict admission_queue::submit(instant now, work_item const& item,
                                          service_rate const& rate)
{
    if (free_head_ == none)
        return admission_verdict::queue_full;
    if (caller_count(item.caller_hash) >= limits_.per_caller)
        return admission_verdict::caller_limit;
    if (order_->refuses_unmeetable_deadlines())
    {
        auto const wait = expected_wait(item.importance, rate);
        if (now + wait + needed_time(rate, item.arrived, item.deadline) > item.deadline)
            return admission_verdict::deadline_too_near;
    }
    std::uint32_t const position = free_head_;
    free_head_ = nodes_[position].next;
    nodes_[position].item = item;
    nodes_[position].sequence = next_sequence_++;
    link(position);
    return admission_verdict::queued;
}

std::optional<work_item> admission_queue::take(instant)
{
    std::array<std::uint64_t, rank_count> heads;
    for (std::size_t r = 0; r < rank_count; ++r)
        heads[r] = lanes_[r].head == none ? no_sequence : nodes_[lanes_[r].head].sequence;
    auto const chosen = order_->choose(heads);
    if (!chosen)
        return std::nullopt;
    return unlink(lanes_[index_of(*chosen)].head);
}

bool admission_queue::cancel(request_id id)
{
    for (std::uint32_t at = buckets_[bucket_of(id)]; at != none; at = nodes_[at].bucket_next)
        if (nodes_[at].item.id == id)
        {
            unlink(at);
            return true;
        }
    return false;
}

std::optional<work_item> admission_queue::take_expired(instant now)
{
    for (auto const& lane : lanes_)
        if (lane.head != none && nodes_[lane.head].item.deadline <= now)
            return unlink(lane.head);
    return std::nullopt;
}

microseconds admission_queue::expected_wait(rank importance, service_rate const& rate) const
{
    if (rate.slots.value() == 0)
        return std::chrono::hours(1);
    std::array<bool, rank_count> waiting{};
    double ahead = 0;
    for (std::size_t r = 0; r < rank_count; ++r)
        waiting[r] = lanes_[r].size > 0;
    double const share = order_->expected_share(importance, waiting);
    ahead = static_cast<double>(lanes_[index_of(importance)].size);
    double const per_item =
        static_cast<double>(rate.mean_service.count()) / static_cast<double>(rate.slots.value());
    return microseconds(static_cast<std::int64_t>(ahead * per_item / std::max(share, 0.001)));
}

void admission_queue::link(std::uint32_t position)
{
    node& item = nodes_[position];
    lane& target = lanes_[index_of(item.item.importance)];
    item.next = none;
    item.previous = target.tail;
    if (target.tail == none)
        target.head = position;
    else
        nodes_[target.tail].next = position;
    target.tail = position;
    ++target.size;
    ++waiting_;
    ++caller_count(item.item.caller_hash);
    auto& bucket = buckets_[bucket_of(item.item.id)];
    item.bucket_next = bucket;
    bucket = position;
}

work_item admission_queue::unlink(std::uint32_t position)
{
    node& item = nodes_[position];
    lane& source = lanes_[index_of(item.item.importance)];
    (item.previous == none ? source.head : nodes_[item.previous].next) = item.next;
    (item.next == none ? source.tail : nodes_[item.next].previous) = item.previous;
    GUAVASHED_INVARIANT(source.size > 0 && waiting_ > 0)
        << "request " << item.item.id << " removed from a queue counted as empty: " << source.size
        << " in its rank, " << waiting_ << " in all";
    --source.size;
    --waiting_;
    --caller_count(item.item.caller_hash);
    unlink_bucket(position);
    item.next = free_head_;
    free_head_ = position;
    return item.item;
}

void admission_queue::unlink_bucket(std::uint32_t position)
{
    std::uint32_t* at = &buckets_[bucket_of(nodes_[position].item.id)];
    while (*at != position)
        at = &nodes_[*at].bucket_next;
    *at = nodes_[position].bucket_next;
}

} // namespace guavashed
