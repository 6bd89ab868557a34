/// \file
/// Defines slot_share and byte_share, which enforce this host's share of a cap: slots in a region,
/// bytes per second on a link.
///
/// The shares of all hosts add up to no more than the cap, and each host enforces its own share.
/// The cap therefore holds over the fleet without communication between hosts.
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"

namespace guavashed
{

/// This host's share of a region's slot cap.
///
/// The base share follows from the configuration and is valid without contact with control. Control
/// may lend more slots until a deadline; unless renewed, the loan expires. Thread safety: none.
class slot_share
{
public:
    /// Sets the base share.
    void base(slot_count slots) { base_ = slots.value(); }
    /// Sets the lent slots, which expire at `until`.
    void lend(slot_count slots, instant until)
    {
        extra_ = slots.value();
        extra_until_ = until;
    }
    /// Slots that may be in use at `now`.
    slot_count limit(instant now) const
    {
        return slot_count(base_ + (now < extra_until_ ? extra_ : 0));
    }
    /// Occupies one slot; false when all of the share is in use.
    bool acquire(instant now)
    {
        if (used_ >= limit(now).value())
            return false;
        ++used_;
        return true;
    }
    /// Frees one slot. Precondition: acquired before.
    void release();
    slot_count used() const { return slot_count(used_); }

private:
    std::uint32_t base_ = 0;
    std::uint32_t extra_ = 0;
    std::uint32_t used_ = 0;
    instant extra_until_;
};

/// This host's share of a link's bandwidth, as a token bucket. Thread safety: none.
class byte_share
{
public:
    /// Sets the rate. The bucket holds 0.1 s of it, which may be sent at once.
    void rate(bytes_per_second share);
    /// Takes `bytes` if the bucket holds as many; else false, and nothing is taken.
    bool acquire(instant now, std::uint64_t bytes);
    /// Takes `bytes` even if the bucket becomes negative, for answers that are already being sent.
    void charge(instant now, std::uint64_t bytes);
    /// Total of bytes taken.
    std::uint64_t taken() const { return taken_; }

private:
    void refill(instant now);

    double rate_ = 0;
    double tokens_ = 0;
    std::uint64_t taken_ = 0;
    instant refilled_;
    bool started_ = false;
};

/// Share of `cap` of the host at `position`, from 0, among `hosts`; 0 for a position beyond. The
/// shares add up to exactly `cap`. Precondition: hosts > 0. Thread safe.
slot_count divide_cap(slot_count cap, std::uint32_t hosts, std::uint32_t position);

} // namespace guavashed
