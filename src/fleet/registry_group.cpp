// Discovery among control hosts, founding of the group, and its membership changes.
#include "base/codec.hpp"
#include "base/log.hpp"
#include "fleet/registry_node.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr milliseconds greeting_interval{300};
/// Time for control hosts that start with the seeds to appear before the group is founded.
constexpr milliseconds founding_wait{600};
constexpr std::size_t max_founders = 5;
/// Hosts that greeted within this time are passed on in greetings.
constexpr milliseconds present_for{1500};
/// A host that is silent for less may be restarting: entry hosts keep trying to connect to it.
constexpr std::chrono::minutes known_for{1};

} // namespace

void registry_node::send_greetings(instant now)
{
    next_greeting_ = now + greeting_interval;
    std::erase_if(known_controls_,
                  [&](auto const& item) { return item.second.received_at + known_for < now; });
    update_directory(now);
    control_greeting out;
    out.host = self_;
    out.disk = disk_;
    out.blank = raft_->last_index().value() == 0;
    out.founding = founding_snapshot_;
    out.leaving = leaving_;
    for (auto const& [host, control] : known_controls_)
        if (control.received_at + present_for > now)
            out.known.push_back(host);
    std::string const bytes = encode(out);
    for (auto& [host, link] : links_)
        link->send(frame_type::greeting, bytes);
    found_group_if_due();
}

void registry_node::on_greeting(control_greeting message)
{
    if (message.host == self_)
        return;
    link_to(message.host);
    for (auto const& host : message.known)
        link_to(host);
    if (raft_->last_index().value() == 0 && !message.founding.empty())
        found_group(message.founding);
    instant const now = instant::clock::now();
    known_control& known = known_controls_[message.host];
    if (known.received_at + present_for <= now)
        known.present_since = now;
    known.received_at = now;
    known.greeting = std::move(message);
}

void registry_node::found_group(std::string const& snapshot)
{
    auto decoded = decode<raft_snapshot>(snapshot, "greeting");
    if (!decoded)
        return log_change(log_level::warning, "founding_unreadable", to_string(decoded.error()));
    raft_member const* self = decoded.value().membership.find(self_);
    if (self == nullptr || self->disk != disk_)
        return;
    founding_snapshot_ = snapshot;
    log_change(log_level::info, "group_founded",
               "members=" + std::to_string(decoded.value().membership.members.size()));
    raft_->found(std::move(decoded).value());
    replica_->drive();
}

void registry_node::found_group_if_due()
{
    if (!settings_.founding || raft_->last_index().value() != 0)
        return;
    instant const now = instant::clock::now();
    for (auto const& seed : settings_.seeds)
    {
        host_name const host(seed.value());
        if (host == self_)
            continue;
        auto const known = known_controls_.find(host);
        // The seed with the lowest name founds the group, once all seeds have reported an empty
        // log: a seed with a log is a member of a group that exists already.
        if (host < self_ || known == known_controls_.end() || !known->second.greeting.blank)
            return;
    }
    bool const is_seed =
        std::any_of(settings_.seeds.begin(), settings_.seeds.end(),
                    [this](endpoint_text const& seed) { return seed.value() == self_.value(); });
    if (!is_seed)
        return;
    if (founding_wait_since_ == instant())
        founding_wait_since_ = now;
    if (now < founding_wait_since_ + founding_wait && known_controls_.size() + 1 < max_founders)
        return;
    raft_snapshot snapshot;
    snapshot.index = log_index(1);
    snapshot.term = log_term(1);
    snapshot.membership.members.push_back({self_, disk_, true});
    for (auto const& [host, control] : known_controls_)
        if (control.greeting.blank && snapshot.membership.members.size() < max_founders)
            snapshot.membership.members.push_back({host, control.greeting.disk, true});
    snapshot.state = register_.save();
    found_group(encode(snapshot));
}

void registry_node::propose_membership_step(instant now)
{
    if (!raft_->membership_settled())
        return;
    auto step = planner_.next_step(*raft_, known_controls_, now);
    if (!step)
        return;
    auto const proposed = raft_->propose_membership(std::move(step->next));
    log_change(log_level::info, "membership_step",
               "host=" + step->host.value() + " reason=\"" + step->reason +
                   "\" outcome=" + (proposed ? "proposed" : to_string(proposed.error())));
}

std::size_t registry_node::silent_members(instant now) const
{
    auto const& members = raft_->membership().members;
    return static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(),
        [&](raft_member const& member)
        {
            auto const at = known_controls_.find(member.host);
            return member.host != self_ &&
                   (at == known_controls_.end() || at->second.received_at + present_for < now);
        }));
}

} // namespace guavashed
