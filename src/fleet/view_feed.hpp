/// \file
/// Defines view_feed, which decides when a control host pushes changes to an entry host.
#pragma once

#include "base/instant.hpp"

#include <cstdint>
#include <deque>

namespace guavashed
{

/// What a control host is in its group, as far as it knows.
enum class group_role : std::uint8_t
{
    /// It knows of no leader.
    no_leader,
    follower,
    leader
};

/// How far one entry host is.
struct feed_position
{
    /// As the entry host last reported.
    std::uint64_t view_index = 0;
    /// The entry host takes its view from this control host.
    bool is_source = false;
    /// As this control host last sent.
    std::uint64_t sent_to = 0;
    std::uint64_t sent_entries = 0;
    instant push_due;
    instant entries_due;
    instant resend_due;
};

struct push_decision
{
    bool push = false;
    /// The list of entry hosts goes with it.
    bool with_entries = false;
};

/// The control host that an entry host has named its source pushes at once. The leader, and after
/// it the followers, push what the source has not brought in time. Thread safety: none.
class view_feed
{
public:
    /// The newest change is now that of log index `index`. Precondition: indexes do not fall.
    void note_change(std::uint64_t index, instant now);
    /// Entry hosts have come, gone, or turned ready.
    void note_entries() { ++entries_epoch_; }

    /// Log index of the newest change; at least 1, so that an empty view is behind.
    std::uint64_t newest() const { return newest_; }
    /// Rises with each `note_entries`.
    std::uint64_t entries_epoch() const { return entries_epoch_; }
    push_decision decide(instant now, group_role role, feed_position const& position) const;
    /// The step was taken.
    void record_push(instant now, push_decision decision, feed_position& position) const;

private:
    struct change
    {
        std::uint64_t index = 0;
        instant at;
    };
    /// When the oldest change after `index` came.
    instant behind_since(std::uint64_t index) const;

    std::uint64_t newest_ = 1;
    std::uint64_t entries_epoch_ = 1;
    /// Recent changes, oldest first.
    std::deque<change> changes_;
};

} // namespace guavashed
