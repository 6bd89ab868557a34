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
/// A voter that began to greet less than this ago has returned: it answers once the leader's link
/// to it is open again, for which the longest back-off and a connect are allowed.
constexpr milliseconds return_timeout{2500};
/// A learner that has not replicated the log within this time no longer holds up other steps.
/// Above the time for a snapshot of the largest size over a link between regions.
constexpr std::chrono::seconds catch_up_timeout{10};

bool is_present(known_control const& host, instant now)
{
    return host.received_at + present_for > now;
}

bool has_returned(known_control const& host, instant now)
{
    return is_present(host, now) && host.present_since + return_timeout > now;
}

bool answers(raft const& replica, raft_member const& member, instant now)
{
    return replica.last_reply_from(member.host) + present_for > now;
}

bool holds_log(raft const& replica, raft_member const& member)
{
    return replica.match_index_of(member.host) >= replica.commit_index();
}

raft_membership without(raft_membership members, host_name const& host)
{
    std::erase_if(members.members, [&](raft_member const& item) { return item.host == host; });
    return members;
}

} // namespace

std::optional<membership_step>
membership_planner::next_step(raft const& replica, known_controls const& known, instant now)
{
    note_learners(replica, now);
    if (replica.membership().voters() >= wanted_voters)
    {
        if (auto step = resolve_surplus(replica, known, now))
            return step;
    }
    else
    {
        if (auto step = promote(replica, now))
            return step;
        if (awaits_learner(replica, now))
            return std::nullopt;
    }
    if (auto step = replace_disk(replica, known, now))
        return step;
    return add_member(replica, known, now);
}

void membership_planner::note_learners(raft const& replica, instant now)
{
    if (term_ != replica.term())
        learner_since_.clear();
    term_ = replica.term();
    std::erase_if(learner_since_,
                  [&](auto const& item)
                  {
                      raft_member const* member = replica.membership().find(item.first);
                      return member == nullptr || member->voter;
                  });
    for (auto const& member : replica.membership().members)
        if (!member.voter)
            learner_since_.try_emplace(member.host, now);
}

bool membership_planner::awaits_learner(raft const& replica, instant now) const
{
    return std::any_of(replica.membership().members.begin(), replica.membership().members.end(),
                       [&](raft_member const& member)
                       {
                           if (member.voter)
                               return false;
                           instant const since = learner_since_.at(member.host);
                           return answers(replica, member, now) ? now < since + catch_up_timeout
                                                                : now < since + present_for;
                       });
}

std::optional<membership_step> membership_planner::resolve_surplus(raft const& replica,
                                                                   known_controls const& known,
                                                                   instant now) const
{
    raft_membership const& current = replica.membership();
    raft_member const* surplus = nullptr;
    for (auto const& member : current.members)
    {
        if (member.voter)
            continue;
        surplus = &member;
        if (answers(replica, member, now) && holds_log(replica, member))
            if (auto step = remove_lost_voter(replica, known, now))
                return step;
    }
    if (surplus == nullptr)
        return std::nullopt;
    return membership_step{without(current, surplus->host), surplus->host,
                           "has no vote, and there are enough voters"};
}

std::optional<membership_step> membership_planner::promote(raft const& replica, instant now) const
{
    raft_membership next = replica.membership();
    for (auto& member : next.members)
    {
        if (member.voter || !answers(replica, member, now) || !holds_log(replica, member))
            continue;
        member.voter = true;
        host_name const host = member.host;
        return membership_step{std::move(next), host, "has replicated the log"};
    }
    return std::nullopt;
}

std::optional<membership_step> membership_planner::replace_disk(raft const& replica,
                                                                known_controls const& known,
                                                                instant now) const
{
    for (auto const& [host, control] : known)
    {
        raft_member const* held = replica.membership().find(host);
        if (held == nullptr || held->disk == control.greeting.disk || !is_present(control, now))
            continue;
        // The votes and entries on its old disk are lost: it rejoins as a member without a vote.
        raft_membership next = without(replica.membership(), host);
        next.members.push_back({host, control.greeting.disk, false});
        return membership_step{std::move(next), host, "has a new disk"};
    }
    return std::nullopt;
}

std::optional<membership_step>
membership_planner::add_member(raft const& replica, known_controls const& known, instant now) const
{
    known_control const* joiner = nullptr;
    for (auto const& [host, control] : known)
        if (replica.membership().find(host) == nullptr && is_present(control, now) &&
            !control.greeting.leaving)
            joiner = &control;
    if (joiner == nullptr)
        return std::nullopt;
    if (replica.membership().voters() >= wanted_voters)
        return remove_lost_voter(replica, known, now);
    raft_membership next = replica.membership();
    next.members.push_back({joiner->greeting.host, joiner->greeting.disk, false});
    return membership_step{std::move(next), joiner->greeting.host, "joins"};
}

std::optional<membership_step> membership_planner::remove_lost_voter(raft const& replica,
                                                                     known_controls const& known,
                                                                     instant now) const
{
    raft_member const* lost = nullptr;
    for (auto const& member : replica.membership().members)
    {
        if (!member.voter || member.host == replica.leader())
            continue;
        instant const last_reply = replica.last_reply_from(member.host);
        auto const at = known.find(member.host);
        bool const leaves = at != known.end() && at->second.greeting.leaving;
        bool const returned = at != known.end() && has_returned(at->second, now);
        bool const unresponsive = last_reply + unresponsive_after < now && !returned;
        if (!unresponsive && !leaves)
            continue;
        if (lost == nullptr || last_reply < replica.last_reply_from(lost->host))
            lost = &member;
    }
    if (lost == nullptr)
        return std::nullopt;
    return membership_step{without(replica.membership(), lost->host), lost->host,
                           "is unresponsive or leaving, and another host can replace it"};
}

} // namespace guavashed
