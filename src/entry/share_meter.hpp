/// \file
/// Defines the meters that hold this host to its share of a cap: slots in a region, bytes on a
/// link.
///
/// A cap holds over the fleet because the shares of all hosts add up to no more than the cap, and
/// each host keeps to its own share without hearing from the others.
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"

namespace guavashed
{

/// This host's part of a region's slot cap.
///
/// `base` is the host's part by configuration, valid without hearing from anyone. `extra` is lent
/// by control until a deadline and is gone when control is silent. Thread safety: none.
class slot_share
{
public:
    /// Sets the part that the configuration gives.
    void base(slot_count slots) { base_ = slots.value(); }
    /// Sets the lent part; it ends by itself at `until`.
    void lend(slot_count slots, instant until)
    {
        extra_ = slots.value();
        extra_until_ = until;
    }
    /// Slots that may be used now.
    slot_count limit(instant now) const
    {
        return slot_count(base_ + (now < extra_until_ ? extra_ : 0));
    }
    /// Takes one slot; false when the share is used up.
    bool acquire(instant now)
    {
        if (used_ >= limit(now).value())
            return false;
        ++used_;
        return true;
    }
    /// Gives one slot back. Precondition: acquired before.
    void release();
    slot_count used() const { return slot_count(used_); }

private:
    std::uint32_t base_ = 0;
    std::uint32_t extra_ = 0;
    std::uint32_t used_ = 0;
    instant extra_until_;
};

/// This host's part of a link's bytes a second, as a token bucket. Thread safety: none.
class byte_share
{
public:
    /// Sets the rate; up to `burst_window` of it may be sent at once.
    void rate(bytes_per_second share);
    /// Takes `bytes` if the bucket holds them; false when the link's share is used up.
    bool acquire(instant now, std::uint64_t bytes);
    /// Takes `bytes` whether or not they are there: for answers that are already on their way.
    void charge(instant now, std::uint64_t bytes);
    /// Bytes taken in all.
    std::uint64_t taken() const { return taken_; }

private:
    void refill(instant now);

    double rate_ = 0;
    double tokens_ = 0;
    std::uint64_t taken_ = 0;
    instant refilled_;
    bool started_ = false;
};

/// Part of `cap` that host number `position` of `hosts` gets; the parts add up to `cap` exactly.
/// Precondition: hosts > 0. Thread safe.
slot_count divide_cap(slot_count cap, std::uint32_t hosts, std::uint32_t position);

} // namespace guavashed
