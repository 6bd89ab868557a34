/// \file
/// Defines view_feed, which decides when a control host pushes changes to an entry host.
#pragma once

#include "base/instant.hpp"

#include <cstdint>
#include <deque>

namespace guavashed
{

/// Role of a control host in its group, as far as it knows.
enum class group_role : std::uint8_t
{
    /// It knows no leader.
    no_leader,
    follower,
    leader
};

/// What one entry host has confirmed, and what was sent to it.
struct feed_position
{
    /// Log index of its view, as it last reported.
    std::uint64_t view_index = 0;
    /// It receives its view from this control host.
    bool is_source = false;
    /// Log index, and epoch of the list of entry hosts, as last sent by this control host.
    std::uint64_t sent_to = 0;
    std::uint64_t sent_entries = 0;
    /// Length of the list of entry hosts that was sent last.
    std::size_t sent_hosts = 0;
    /// It had no view when it connected, and so no list of entry hosts.
    bool began_empty = false;
    instant push_due;
    instant entries_due;
    instant resend_due;
};

struct push_decision
{
    bool push = false;
    /// Include the list of entry hosts.
    bool with_entries = false;
};

/// Schedules pushes to entry hosts. The control host that an entry host reported as its source
/// pushes at once; the leader, and after it the followers, push what the source has not delivered
/// in time. Thread safety: none.
class view_feed
{
public:
    /// Records that the newest change has log index `index`. Precondition: it never decreases.
    void note_change(std::uint64_t index, instant now);
    /// Records that this control host started, so that entry hosts may still have to connect.
    void start(instant now);
    /// Records that an entry host connected or disconnected, and how many are connected now.
    void note_entries(std::size_t hosts)
    {
        ++entries_epoch_;
        hosts_ = hosts;
    }

    /// Log index of the newest change; at least 1, so that an empty view, at 0, is behind.
    std::uint64_t newest() const { return newest_; }
    /// Incremented by each `note_entries`.
    std::uint64_t entries_epoch() const { return entries_epoch_; }
    push_decision decide(instant now, group_role role, feed_position const& position) const;
    /// Records that a push was sent as decided.
    void record_push(instant now, push_decision decision, feed_position& position) const;

private:
    struct change
    {
        std::uint64_t index = 0;
        instant at;
    };
    /// When the oldest change after `index` was recorded; `instant()` when there is none.
    instant behind_since(std::uint64_t index) const;
    bool is_list_due(instant now, feed_position const& position) const;

    std::uint64_t newest_ = 1;
    std::uint64_t entries_epoch_ = 1;
    std::size_t hosts_ = 0;
    /// When the entry hosts that had a view before the start have connected.
    instant connected_by_;
    /// Recent changes, oldest first.
    std::deque<change> changes_;
};

} // namespace guavashed
