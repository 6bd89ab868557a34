#include "fleet/group_mender.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Voters that the group keeps: two disks may be lost at once.
constexpr std::size_t wanted_voters = 5;
/// A host that has said nothing for so long is not there.
constexpr milliseconds present_for{1000};
/// A voter that has been dark for so long gives its seat to a host that waits for one.
constexpr milliseconds dark_after{1500};

bool is_present(known_control const& host, instant now)
{
    return host.heard + present_for > now;
}

bool answers(raft const& replica, raft_member const& member, instant now)
{
    return replica.heard_from(member.host) + present_for > now;
}

} // namespace

std::optional<membership_step>
group_mender::next_step(raft const& replica, std::map<host_name, known_control> const& known,
                        instant now) const
{
    if (auto step = promote(replica, now))
        return step;
    // Copies of the log are made before more seats change hands.
    for (auto const& member : replica.membership().members)
        if (!member.voter && answers(replica, member, now))
            return std::nullopt;
    if (auto step = replace_disk(replica, known, now))
        return step;
    return take_in(replica, known, now);
}

std::optional<membership_step> group_mender::promote(raft const& replica, instant now) const
{
    raft_membership next = replica.membership();
    if (next.voters() >= wanted_voters)
        return std::nullopt;
    for (auto& member : next.members)
    {
        bool const holds_log = replica.match_of(member.host) >= replica.commit_index();
        if (member.voter || !answers(replica, member, now) || !holds_log)
            continue;
        member.voter = true;
        host_name const host = member.host;
        return membership_step{std::move(next), host, "holds the log"};
    }
    return std::nullopt;
}

std::optional<membership_step>
group_mender::replace_disk(raft const& replica, std::map<host_name, known_control> const& known,
                           instant now) const
{
    for (auto const& [host, control] : known)
    {
        raft_member const* held = replica.membership().find(host);
        if (held == nullptr || held->disk == control.said.disk || !is_present(control, now))
            continue;
        // Its old disk is gone and with it what it promised: it starts anew, without a vote.
        raft_membership next = replica.membership();
        std::erase_if(next.members,
                      [&gone = host](raft_member const& item) { return item.host == gone; });
        next.members.push_back({host, control.said.disk, false});
        return membership_step{std::move(next), host, "has a new disk"};
    }
    return std::nullopt;
}

std::optional<membership_step>
group_mender::take_in(raft const& replica, std::map<host_name, known_control> const& known,
                      instant now) const
{
    known_control const* joiner = nullptr;
    for (auto const& [host, control] : known)
        if (replica.membership().find(host) == nullptr && is_present(control, now) &&
            !control.said.leaving)
            joiner = &control;
    if (joiner == nullptr)
        return std::nullopt;
    raft_membership next = replica.membership();
    if (next.voters() < wanted_voters)
    {
        next.members.push_back({joiner->said.host, joiner->said.disk, false});
        return membership_step{std::move(next), joiner->said.host, "joins"};
    }
    raft_member const* darkest = nullptr;
    for (auto const& member : next.members)
    {
        auto const said = known.find(member.host);
        bool const leaves = said != known.end() && said->second.said.leaving;
        bool const dark = replica.heard_from(member.host) + dark_after < now;
        if (!member.voter || member.host == replica.leader() || !(dark || leaves))
            continue;
        if (darkest == nullptr ||
            replica.heard_from(member.host) < replica.heard_from(darkest->host))
            darkest = &member;
    }
    if (darkest == nullptr)
        return std::nullopt;
    host_name const gone = darkest->host;
    std::erase_if(next.members, [&](raft_member const& item) { return item.host == gone; });
    return membership_step{std::move(next), gone, "is dark and another host waits for its seat"};
}

} // namespace guavashed
