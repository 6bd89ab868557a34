#include "fleet/view_feed.hpp"

#include "base/invariant.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// A source pushes, and its entry host reports, well within these; together with an election they
/// stay within the time in which a drain must be in force.
constexpr milliseconds leader_delay{700};
constexpr milliseconds follower_delay{1100};
/// Changes of so long go out together; several may come each second.
constexpr milliseconds push_interval{200};
/// Entry hosts come in numbers after a loss of power; the rate at which they warm upstreams bears
/// an older list.
constexpr milliseconds entries_interval{2000};
/// A push that an entry host has not confirmed by then is sent again.
constexpr milliseconds resend_after{1000};
/// Longer than any delay above; older changes count as this old.
constexpr std::chrono::seconds changes_kept{10};

} // namespace

void view_feed::note_change(std::uint64_t index, instant now)
{
    GUAVASHED_INVARIANT(index >= newest_) << "change " << index << " after " << newest_;
    if (index == newest_)
        return;
    newest_ = index;
    changes_.push_back({index, now});
    while (changes_.front().at + changes_kept < now)
        changes_.pop_front();
}

instant view_feed::behind_since(std::uint64_t index) const
{
    auto const missing =
        std::upper_bound(changes_.begin(), changes_.end(), index,
                         [](std::uint64_t view, change const& item) { return view < item.index; });
    return missing == changes_.end() ? instant() : missing->at;
}

feed_step view_feed::next(instant now, control_part part, feed_position const& at) const
{
    bool const leads = part == control_part::leader;
    if (part == control_part::apart || now < at.push_due)
        return {};
    // The leader's list of entry hosts holds for the fleet, since hosts that divide a budget must
    // not each believe another number; a host without a view has no list yet.
    bool const with_entries =
        (leads || at.view_index == 0) && at.sent_entries != entries_epoch_ && now >= at.entries_due;
    if (at.view_index == 0)
        return {at.source && now >= at.resend, with_entries};
    if (at.view_index >= newest_)
        return {with_entries, with_entries};
    bool const waits = at.sent_to >= newest_ && now < at.resend;
    if (waits)
        return {};
    if (at.source)
        return {true, with_entries};
    instant const since = behind_since(at.view_index);
    return {now >= since + (leads ? leader_delay : follower_delay), with_entries};
}

void view_feed::sent(instant now, feed_step step, feed_position& at) const
{
    at.sent_to = newest_;
    at.push_due = now + push_interval;
    at.resend = now + resend_after;
    if (!step.with_entries)
        return;
    at.sent_entries = entries_epoch_;
    at.entries_due = now + entries_interval;
}

} // namespace guavashed
