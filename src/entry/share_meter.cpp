// Defines the slot and bandwidth shares of a host and the division of a cap among hosts.
#include "entry/share_meter.hpp"

#include "base/invariant.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Time at the full rate whose bytes the bucket holds.
constexpr double burst_seconds = 0.1;

} // namespace

void slot_share::release()
{
    GUAVASHED_INVARIANT(used_ > 0)
        << "slot of the region's share released while none is in use; base share is " << base_
        << " slots";
    --used_;
}

void byte_share::rate(bytes_per_second share)
{
    rate_ = static_cast<double>(share.value());
}

void byte_share::refill(instant now)
{
    if (!started_)
    {
        started_ = true;
        refilled_ = now;
        tokens_ = rate_ * burst_seconds;
        return;
    }
    if (now <= refilled_)
        return;
    std::chrono::duration<double> const passed = now - refilled_;
    tokens_ = std::min(rate_ * burst_seconds, tokens_ + rate_ * passed.count());
    refilled_ = now;
}

bool byte_share::acquire(instant now, std::uint64_t bytes)
{
    refill(now);
    if (tokens_ < static_cast<double>(bytes))
        return false;
    tokens_ -= static_cast<double>(bytes);
    taken_ += bytes;
    return true;
}

void byte_share::charge(instant now, std::uint64_t bytes)
{
    refill(now);
    tokens_ -= static_cast<double>(bytes);
    taken_ += bytes;
}

slot_count divide_cap(slot_count cap, std::uint32_t hosts, std::uint32_t position)
{
    GUAVASHED_INVARIANT(hosts > 0) << "cap of " << cap << " slots divided among 0 hosts";
    if (position >= hosts)
        return slot_count(0);
    std::uint32_t const even = cap.value() / hosts;
    std::uint32_t const rest = cap.value() % hosts;
    return slot_count(even + (position < rest ? 1 : 0));
}

} // namespace guavashed
