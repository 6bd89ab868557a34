/// \file
/// Defines raft_group, a simulated group of replicas. A test decides which message is delivered,
/// duplicated, delayed or lost, and which replica crashes or loses its disk. Time is simulated.
#pragma once

#include "control/raft.hpp"
#include "support.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <vector>

namespace guavashed
{

/// After each step the invariants are checked: at most one leader per term, at most one leader with
/// a lease, the same entry applied at an index by all replicas, in order. A violation throws.
class raft_group
{
public:
    explicit raft_group(std::size_t size, std::uint64_t seed) : seed_(seed)
    {
        raft_membership founding;
        for (std::size_t i = 0; i < size; ++i)
            founding.members.push_back({name(i), disk_id(100 + i), true});
        for (std::size_t i = 0; i < size; ++i)
        {
            replicas_.emplace_back();
            replicas_[i].disk = disk_id(100 + i);
            replicas_[i].stored.snapshot = {log_index(1), log_term(1), founding, {}};
            start(i);
        }
    }

    static host_name name(std::size_t i) { return host_name("r" + std::to_string(i)); }
    std::size_t size() const { return replicas_.size(); }
    bool alive(std::size_t i) const { return replicas_[i].core != nullptr; }
    raft& core(std::size_t i) { return *replicas_[i].core; }
    std::size_t in_transit() const { return messages_.size(); }

    void pass_ms(std::int64_t ms)
    {
        now_ms_ += ms;
        for (std::size_t i = 0; i < size(); ++i)
            if (alive(i))
            {
                core(i).tick(now());
                drive(i);
            }
    }

    /// Delivers the message at that position; with `keep` it stays in transit, as a duplicate.
    void deliver(std::size_t position, bool keep = false)
    {
        raft_message const message = messages_[position % messages_.size()];
        if (!keep)
            messages_.erase(messages_.begin() +
                            static_cast<std::ptrdiff_t>(position % messages_.size()));
        std::size_t const to = std::stoul(message.to.value().substr(1));
        if (!alive(to) || cut_.contains({message.from, message.to}))
            return;
        core(to).step(now(), message);
        drive(to);
    }

    void drop(std::size_t position)
    {
        if (!messages_.empty())
            messages_.erase(messages_.begin() +
                            static_cast<std::ptrdiff_t>(position % messages_.size()));
    }

    /// Lets `ms` pass in steps of 10 ms; in each, delivers in order the messages in transit.
    void settle(std::int64_t ms)
    {
        for (std::int64_t passed = 0; passed < ms; passed += 10)
        {
            pass_ms(10);
            std::size_t const count = messages_.size();
            for (std::size_t i = 0; i < count && !messages_.empty(); ++i)
                deliver(0);
        }
    }

    void cut(std::size_t from, std::size_t to) { cut_.insert({name(from), name(to)}); }
    void heal() { cut_.clear(); }
    void crash(std::size_t i) { replicas_[i].core.reset(); }

    /// Starts a crashed replica from the contents of its disk.
    void start(std::size_t i)
    {
        replica& item = replicas_[i];
        raft_settings settings;
        settings.self = name(i);
        settings.disk = item.disk;
        settings.seed = seed_ * 31 + i + next_disk_;
        item.applied = item.stored.snapshot.index;
        item.core = std::make_unique<raft>(settings, item.stored, now());
    }

    /// Starts a crashed replica with an empty new disk.
    void start_with_lost_disk(std::size_t i)
    {
        replicas_[i].stored = {};
        replicas_[i].disk = disk_id(next_disk_++);
        start(i);
    }

    /// One step of the leader's membership repair: adds a replica with a new disk as a learner, or
    /// makes a learner that has caught up a voter.
    void repair_membership()
    {
        for (std::size_t i = 0; i < size(); ++i)
        {
            if (!alive(i) || !core(i).is_leader() || !core(i).caught_up() ||
                !core(i).membership_settled())
                continue;
            raft_membership next = core(i).membership();
            for (auto& member : next.members)
            {
                std::size_t const host = std::stoul(member.host.value().substr(1));
                if (member.disk != replicas_[host].disk)
                {
                    member = {member.host, replicas_[host].disk, false};
                    (void)core(i).propose_membership(next);
                    break;
                }
                if (!member.voter && core(i).match_index_of(member.host) >= core(i).commit_index())
                {
                    member.voter = true;
                    (void)core(i).propose_membership(next);
                    break;
                }
            }
            drive(i);
        }
    }

    std::optional<std::size_t> leader() const
    {
        std::optional<std::size_t> out;
        for (std::size_t i = 0; i < size(); ++i)
            if (replicas_[i].core && replicas_[i].core->is_leader())
                if (!out || replicas_[i].core->term() > replicas_[*out].core->term())
                    out = i;
        return out;
    }

    /// Proposes a command at each replica that is in the leader role.
    void propose(std::string const& text)
    {
        for (std::size_t i = 0; i < size(); ++i)
            if (alive(i) && core(i).propose(text))
                drive(i);
    }

    void compact(std::size_t i)
    {
        replica& item = replicas_[i];
        if (!item.core || item.applied <= item.stored.snapshot.index)
            return;
        raft_snapshot snapshot = item.stored.snapshot;
        snapshot.index = item.applied;
        snapshot.term = terms_.at(item.applied.value());
        snapshot.membership = memberships_.at(item.applied.value());
        std::erase_if(item.stored.entries,
                      [&](raft_entry const& entry) { return entry.index <= snapshot.index; });
        item.stored.snapshot = snapshot;
        item.core->on_snapshot(snapshot);
    }

    instant now() const { return at_ms(now_ms_); }
    /// All entries that any replica applied, by index.
    std::map<std::uint64_t, std::string> const& applied() const { return applied_; }
    log_index applied_by(std::size_t i) const { return replicas_[i].applied; }

private:
    struct replica
    {
        std::unique_ptr<raft> core;
        raft_restored stored;
        disk_id disk;
        log_index applied;
    };

    void drive(std::size_t i)
    {
        replica& item = replicas_[i];
        for (;;)
        {
            raft_batch batch = item.core->take_batch();
            if (batch.empty())
                break;
            store(item, batch);
            item.core->on_persisted(now());
            for (auto const& entry : batch.committed)
                apply(item, entry);
            for (auto& message : batch.messages)
                messages_.push_back(std::move(message));
        }
        check_leaders();
    }

    void store(replica& item, raft_batch const& batch)
    {
        if (batch.install)
        {
            item.stored.snapshot = *batch.install;
            item.stored.entries.clear();
            item.applied = batch.install->index;
        }
        if (batch.truncate_from)
            std::erase_if(item.stored.entries, [&](raft_entry const& entry)
                          { return entry.index >= *batch.truncate_from; });
        item.stored.entries.insert(item.stored.entries.end(), batch.append.begin(),
                                   batch.append.end());
        if (batch.vote)
            item.stored.vote = *batch.vote;
    }

    void apply(replica& item, raft_entry const& entry)
    {
        if (entry.index.value() != item.applied.value() + 1)
            throw std::logic_error("entry " + std::to_string(entry.index.value()) +
                                   " was applied right after entry " +
                                   std::to_string(item.applied.value()));
        item.applied = entry.index;
        std::string const text = std::to_string(entry.term.value()) + ":" + entry.payload;
        auto const [at, fresh] = applied_.emplace(entry.index.value(), text);
        if (!fresh && at->second != text)
            throw std::logic_error("two replicas applied different entries at index " +
                                   std::to_string(entry.index.value()) + ": " + at->second +
                                   " and " + text);
        terms_[entry.index.value()] = entry.term;
        raft_membership held = item.stored.snapshot.membership;
        for (auto const& stored : item.stored.entries)
            if (stored.kind == entry_kind::membership && stored.index <= entry.index)
                held = decode_membership(stored.payload);
        memberships_[entry.index.value()] = held;
    }

    static raft_membership decode_membership(std::string const& bytes);

    void check_leaders()
    {
        std::map<std::uint64_t, host_name> leaders;
        std::size_t leased = 0;
        for (std::size_t i = 0; i < size(); ++i)
        {
            if (!alive(i) || !core(i).is_leader())
                continue;
            if (!leaders.emplace(core(i).term().value(), name(i)).second)
                throw std::logic_error("two leaders in term " +
                                       std::to_string(core(i).term().value()));
            if (core(i).lease_holds(now()))
                ++leased;
        }
        if (leased > 1)
            throw std::logic_error(std::to_string(leased) + " leaders hold a lease at once");
    }

    std::uint64_t seed_;
    std::int64_t now_ms_ = 0;
    std::uint64_t next_disk_ = 1000;
    std::vector<replica> replicas_;
    std::vector<raft_message> messages_;
    std::set<std::pair<host_name, host_name>> cut_;
    std::map<std::uint64_t, std::string> applied_;
    std::map<std::uint64_t, log_term> terms_;
    std::map<std::uint64_t, raft_membership> memberships_;
};

} // namespace guavashed
