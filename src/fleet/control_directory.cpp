// Keeps what a control host tells entry hosts of control hosts.
#include "fleet/control_directory.hpp"

namespace guavashed
{
namespace
{

/// Elections take up to a second, and a second one follows if the votes are split.
constexpr milliseconds leaderless_timeout{2000};

} // namespace

void control_directory::update(instant now, bool has_leader, raft_membership const& members,
                               std::map<host_name, known_control> const& known)
{
    // A new member hears the leader before it has a log, and with it the members.
    has_leader = has_leader && !members.members.empty();
    if (has_leader)
        leader_lost_by_ = instant::max();
    else if (leader_lost_by_ == instant::max())
        leader_lost_by_ = now + leaderless_timeout;
    control_status next;
    next.has_leader = has_leader || (status_.has_leader && now < leader_lost_by_);
    if (next.has_leader)
        for (auto const& member : members.members)
            next.members.emplace_back(member.host.value());
    for (auto const& [host, control] : known)
        if (!next.has_leader || members.find(host) == nullptr)
            next.others.emplace_back(host.value());
    if (next == status_ && epoch_ > 0)
        return;
    status_ = std::move(next);
    ++epoch_;
}

} // namespace guavashed
