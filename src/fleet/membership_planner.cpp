// Chooses the next membership change of the control group.
#include "fleet/membership_planner.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Target number of voters: two of five disks may be lost at once.
constexpr std::size_t wanted_voters = 5;
/// A host from which nothing arrived for this long is absent.
constexpr milliseconds present_for{1000};
/// A voter that has been unresponsive for this long is replaced if another host is available.
constexpr milliseconds unresponsive_after{1500};

bool is_present(known_control const& host, instant now)
{
    return host.received_at + present_for > now;
}

bool answers(raft const& replica, raft_member const& member, instant now)
{
    return replica.last_reply_from(member.host) + present_for > now;
}

} // namespace

std::optional<membership_step>
membership_planner::next_step(raft const& replica, std::map<host_name, known_control> const& known,
                              instant now) const
{
    if (auto step = promote(replica, now))
        return step;
    // Let new members replicate the log before further membership changes.
    for (auto const& member : replica.membership().members)
        if (!member.voter && answers(replica, member, now))
            return std::nullopt;
    if (auto step = replace_disk(replica, known, now))
        return step;
    return add_member(replica, known, now);
}

std::optional<membership_step> membership_planner::promote(raft const& replica, instant now) const
{
    raft_membership next = replica.membership();
    if (next.voters() >= wanted_voters)
        return std::nullopt;
    for (auto& member : next.members)
    {
        bool const holds_log = replica.match_index_of(member.host) >= replica.commit_index();
        if (member.voter || !answers(replica, member, now) || !holds_log)
            continue;
        member.voter = true;
        host_name const host = member.host;
        return membership_step{std::move(next), host, "has replicated the log"};
    }
    return std::nullopt;
}

std::optional<membership_step>
membership_planner::replace_disk(raft const& replica,
                                 std::map<host_name, known_control> const& known, instant now) const
{
    for (auto const& [host, control] : known)
    {
        raft_member const* held = replica.membership().find(host);
        if (held == nullptr || held->disk == control.greeting.disk || !is_present(control, now))
            continue;
        // The votes and entries on its old disk are lost: it rejoins as a member without a vote.
        raft_membership next = replica.membership();
        std::erase_if(next.members,
                      [&gone = host](raft_member const& item) { return item.host == gone; });
        next.members.push_back({host, control.greeting.disk, false});
        return membership_step{std::move(next), host, "has a new disk"};
    }
    return std::nullopt;
}

std::optional<membership_step>
membership_planner::add_member(raft const& replica, std::map<host_name, known_control> const& known,
                               instant now) const
{
    known_control const* joiner = nullptr;
    for (auto const& [host, control] : known)
        if (replica.membership().find(host) == nullptr && is_present(control, now) &&
            !control.greeting.leaving)
            joiner = &control;
    if (joiner == nullptr)
        return std::nullopt;
    raft_membership next = replica.membership();
    if (next.voters() < wanted_voters)
    {
        next.members.push_back({joiner->greeting.host, joiner->greeting.disk, false});
        return membership_step{std::move(next), joiner->greeting.host, "joins"};
    }
    raft_member const* replaceable = nullptr;
    for (auto const& member : next.members)
    {
        auto const known_member = known.find(member.host);
        bool const leaves = known_member != known.end() && known_member->second.greeting.leaving;
        bool const unresponsive = replica.last_reply_from(member.host) + unresponsive_after < now;
        if (!member.voter || member.host == replica.leader() || !(unresponsive || leaves))
            continue;
        if (replaceable == nullptr ||
            replica.last_reply_from(member.host) < replica.last_reply_from(replaceable->host))
            replaceable = &member;
    }
    if (replaceable == nullptr)
        return std::nullopt;
    host_name const gone = replaceable->host;
    std::erase_if(next.members, [&](raft_member const& item) { return item.host == gone; });
    return membership_step{std::move(next), gone,
                           "is unresponsive or leaving, and another host can replace it"};
}

} // namespace guavashed
