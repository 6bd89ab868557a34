// Decides when a control host pushes changes and the list of entry hosts to an entry host.
#include "fleet/view_feed.hpp"

#include "base/invariant.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Age of a change at which the leader, and later the followers, push it to entry hosts whose
/// source has not delivered it. A source's push and the report of it take well less; the delays and
/// an election together fit in the time within which a drain must be in force.
constexpr milliseconds leader_delay{700};
constexpr milliseconds follower_delay{1100};
/// Shortest time between pushes to an entry host; batches changes, of which several may occur each
/// second.
constexpr milliseconds push_interval{200};
/// Shortest time between lists of entry hosts sent to one of them, unless the list has grown.
constexpr milliseconds entries_interval{2000};
/// Growth of the list at which it is sent without that wait. The number of hosts that take
/// themselves for one of the few that may warm up an upstream increases with the logarithm of this.
constexpr double max_growth = 1.5;
/// Time in which running entry hosts connect again to a control host that has restarted. Until then
/// the list that they have is better than one of those that are connected.
constexpr milliseconds reconnect_time{3000};
/// A push that the entry host has not confirmed within this time is sent again.
constexpr milliseconds resend_after{1000};
/// Longer than all delays above; older changes count as this old.
constexpr std::chrono::seconds change_retention{10};

} // namespace

void view_feed::start(instant now)
{
    connected_by_ = now + reconnect_time;
}

bool view_feed::is_list_due(instant now, feed_position const& position) const
{
    if (position.sent_entries == entries_epoch_)
        return false;
    if (!position.began_empty && now < connected_by_)
        return false;
    auto const sent = static_cast<double>(position.sent_hosts);
    return now >= position.entries_due || static_cast<double>(hosts_) >= sent * max_growth;
}

void view_feed::note_change(std::uint64_t index, instant now)
{
    GUAVASHED_INVARIANT(index >= newest_)
        << "change index " << index << " is below the newest index " << newest_;
    if (index == newest_)
        return;
    newest_ = index;
    changes_.push_back({index, now});
    while (changes_.front().at + change_retention < now)
        changes_.pop_front();
}

instant view_feed::behind_since(std::uint64_t index) const
{
    auto const missing =
        std::upper_bound(changes_.begin(), changes_.end(), index,
                         [](std::uint64_t view, change const& item) { return view < item.index; });
    return missing == changes_.end() ? instant() : missing->at;
}

push_decision view_feed::decide(instant now, group_role role, feed_position const& position) const
{
    bool const leads = role == group_role::leader;
    if (role == group_role::no_leader || now < position.push_due)
        return {};
    // The leader's list of entry hosts counts for the whole fleet, since hosts that divide a
    // budget must agree on their number; a host with an empty view has no list yet.
    bool const with_entries = (leads || position.view_index == 0) && is_list_due(now, position);
    if (position.view_index == 0)
        return {position.is_source && now >= position.resend_due, with_entries};
    if (position.view_index >= newest_)
        return {with_entries, with_entries};
    bool const waits = position.sent_to >= newest_ && now < position.resend_due;
    if (waits)
        return {};
    if (position.is_source)
        return {true, with_entries};
    instant const since = behind_since(position.view_index);
    return {now >= since + (leads ? leader_delay : follower_delay), with_entries};
}

void view_feed::record_push(instant now, push_decision decision, feed_position& position) const
{
    position.sent_to = newest_;
    position.push_due = now + push_interval;
    position.resend_due = now + resend_after;
    if (!decision.with_entries)
        return;
    position.sent_entries = entries_epoch_;
    position.sent_hosts = hosts_;
    position.entries_due = now + entries_interval;
}

} // namespace guavashed
