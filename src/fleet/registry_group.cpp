// Discovery among control hosts, founding of the group, and its membership changes.
#include "base/codec.hpp"
#include "base/log.hpp"
#include "control/record_file.hpp"
#include "fleet/registry_node.hpp"

#include <algorithm>
#include <set>

namespace guavashed
{
namespace
{

constexpr milliseconds greeting_interval{300};
/// Time for control hosts that start with the seeds to appear before the group is founded.
constexpr milliseconds founding_wait{600};
/// Time for all seeds to appear. The group is then founded without the others, which may be lost,
/// if a majority is there.
constexpr milliseconds missing_seed_wait{2000};
/// Several round trips between regions, and writes to a slow disk.
constexpr milliseconds founding_retry{1500};
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
    drive_founding(now);
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
    // The others wait for it.
    next_greeting_ = instant();
}

result<void> registry_node::open_founding_vote()
{
    BOOST_OUTCOME_TRY(auto const bytes, read_checked_file(founding_path()));
    founding_record record;
    if (!bytes.empty())
    {
        BOOST_OUTCOME_TRY(record, decode<founding_record>(bytes, founding_path()));
    }
    else
    {
        std::set<host_name> seeds;
        for (auto const& seed : settings_.seeds)
            seeds.emplace(seed.value());
        if (!settings_.founding || !seeds.contains(self_))
            return boost::outcome_v2::success();
        record.seeds.assign(seeds.begin(), seeds.end());
        // Without it, a seed that restarts could not tell its disk from a new one, which may have
        // lost a vote.
        BOOST_OUTCOME_TRY(replace_file(founding_path(), encode(record)));
    }
    founding_vote_.emplace(self_, std::move(record.seeds), std::move(record.state));
    return boost::outcome_v2::success();
}

std::string registry_node::founding_path() const
{
    return settings_.data_folder + "/founding";
}

void registry_node::on_founding_vote(founding_message const& message)
{
    if (!founding_vote_ || raft_->last_index().value() != 0)
        return;
    founding_heard_[message.host] = instant::clock::now();
    if (founding_vote_->observe(message.host, message.state))
        publish_founding_vote();
    else if (auto const chosen = founding_vote_->chosen())
        found_group(*chosen);
}

void registry_node::drive_founding(instant now)
{
    if (!founding_vote_ || raft_->last_index().value() != 0 || hears_group(now))
        return;
    if (!may_propose_founding(now))
        return send_founding_vote();
    next_founding_ = now + founding_retry;
    raft_snapshot const proposal = founding_proposal(now);
    log_change(log_level::info, "founding_proposed",
               "members=" + std::to_string(proposal.membership.members.size()));
    founding_vote_->propose(encode(proposal));
    publish_founding_vote();
}

bool registry_node::hears_group(instant now) const
{
    return std::any_of(known_controls_.begin(), known_controls_.end(),
                       [&](auto const& item) {
                           return item.second.received_at + present_for > now &&
                                  !item.second.greeting.blank;
                       });
}

bool registry_node::may_propose_founding(instant now)
{
    std::size_t present = 0;
    bool is_first = true;
    for (auto const& seed : founding_vote_->seeds())
    {
        // A seed that greets may have a new disk, with which it doesn't vote.
        auto const heard = founding_heard_.find(seed);
        bool const is_present =
            seed == self_ || (heard != founding_heard_.end() && heard->second + present_for > now);
        present += is_present ? 1 : 0;
        is_first = is_first && (!is_present || self_ <= seed);
    }
    if (present < founding_vote_->majority())
        return false;
    if (founding_wait_since_ == instant())
        founding_wait_since_ = now;
    bool const is_complete = present == founding_vote_->seeds().size();
    bool const has_founders = known_controls_.size() + 1 >= max_founders;
    milliseconds const wait = !is_complete   ? missing_seed_wait
                              : has_founders ? milliseconds(0)
                                             : founding_wait;
    return is_first && now >= founding_wait_since_ + wait && now >= next_founding_ &&
           !founding_vote_->chosen();
}

raft_snapshot registry_node::founding_proposal(instant now) const
{
    raft_snapshot out;
    out.index = log_index(1);
    out.term = log_term(1);
    out.membership.members.push_back({self_, disk_, true});
    auto const add = [&](host_name const& host)
    {
        auto const known = known_controls_.find(host);
        bool const is_there =
            known != known_controls_.end() && known->second.received_at + present_for > now;
        if (is_there && known->second.greeting.blank && out.membership.find(host) == nullptr &&
            out.membership.members.size() < max_founders)
            out.membership.members.push_back({host, known->second.greeting.disk, true});
    };
    for (auto const& seed : founding_vote_->seeds())
        add(seed);
    for (auto const& [host, control] : known_controls_)
        add(host);
    out.state = register_.save();
    return out;
}

void registry_node::publish_founding_vote()
{
    founding_record const record{founding_vote_->seeds(), founding_vote_->state()};
    // On the event loop: this host has nothing else to do before the group is founded.
    if (auto const written = replace_file(founding_path(), encode(record)); !written)
    {
        log_change(log_level::error, "founding_not_written", to_string(written.error()));
        return on_failure_();
    }
    send_founding_vote();
    if (auto const chosen = founding_vote_->chosen())
        found_group(*chosen);
}

void registry_node::send_founding_vote()
{
    std::string const bytes = encode(founding_message{self_, founding_vote_->state()});
    for (auto const& seed : founding_vote_->seeds())
        if (auto const link = links_.find(seed); link != links_.end())
            link->second->send(frame_type::founding_vote, bytes);
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
