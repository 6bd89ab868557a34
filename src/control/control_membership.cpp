// Membership of the control group: discovery by join messages, founding (bootstrap) of the group,
// and the replacement of a member whose disk was replaced.
#include "base/codec.hpp"
#include "base/log.hpp"
#include "control/control_node.hpp"

#include <algorithm>

namespace guavashed
{
void control_node::send_join()
{
    join_message out;
    out.host = settings_.name;
    out.disk = disk_;
    out.peer_endpoint = settings_.peer_listen;
    out.operator_endpoint = settings_.operator_listen;
    out.blank = raft_->last_index().value() == 0;
    out.founding = state_.founding();
    std::string const bytes = encode(out);
    for (auto& [host, peer] : peers_)
        peer.link->send(frame_type::join, bytes);
}

void control_node::on_join(join_message message)
{
    auto const known = peers_.find(message.host);
    if (message.host == settings_.name)
        return;
    if (known == peers_.end())
    {
        // The sender is missing from this host's settings: it was added to the group later.
        frame_identity const identity{settings_.name.value(), settings_.cluster_key};
        peer_state& peer = peers_[message.host];
        peer.link =
            std::make_unique<frame_client>(event_loop_, *this, identity, message.peer_endpoint);
        peer.link->start();
    }
    bool const blank = raft_->last_index().value() == 0;
    raft_member const* self = message.founding.find(settings_.name);
    if (blank && self != nullptr && self->disk == disk_)
    {
        control_state founded;
        founded.found(message.founding);
        raft_->found({log_index(1), log_term(1), message.founding, founded.save()});
    }
    peer_state& peer = peers_[message.host];
    peer.last_join = std::move(message);
    peer.join_received = true;
}

// Only the control host with the lowest name founds the group, once every known peer has
// reported an empty log. The founding membership then reaches the others in join messages.
void control_node::found_group_when_ready()
{
    if (raft_->last_index().value() != 0)
        return;
    raft_membership founding;
    founding.members.push_back({settings_.name, disk_, true});
    for (auto const& [host, peer] : peers_)
    {
        if (!peer.join_received || !peer.last_join.blank || host < settings_.name)
            return;
        founding.members.push_back({host, peer.last_join.disk, true});
    }
    control_state founded;
    founded.found(founding);
    raft_->found({log_index(1), log_term(1), founding, founded.save()});
    log_change(log_level::info, "group_founded",
               "members=" + std::to_string(founding.members.size()));
}

// Proposes at most one change, and only while no earlier one is pending.
void control_node::update_membership(instant now)
{
    if (!raft_->membership_settled())
        return;
    raft_membership next = raft_->membership();
    for (auto const& [host, peer] : peers_)
    {
        if (!peer.join_received || !peer.last_join.blank)
            continue;
        raft_member const* held = next.find(host);
        if (held != nullptr && held->disk == peer.last_join.disk)
            continue;
        // The member's old disk is lost, and with it its votes and acknowledged log entries. It
        // rejoins as a non-voter until its log has caught up.
        std::erase_if(next.members, [&held_host = host](raft_member const& item)
                      { return item.host == held_host; });
        next.members.push_back({host, peer.last_join.disk, false});
        if (raft_->propose_membership(next))
            log_change(log_level::info, "member_taken_in", "host=" + host.value());
        return;
    }
    for (auto& member : next.members)
    {
        if (member.voter || raft_->last_reply_from(member.host) + member_unresponsive_after < now ||
            raft_->match_index_of(member.host) < raft_->commit_index())
            continue;
        member.voter = true;
        host_name const host = member.host;
        if (raft_->propose_membership(next))
            log_change(log_level::info, "member_votes", "host=" + host.value());
        return;
    }
}

} // namespace guavashed
