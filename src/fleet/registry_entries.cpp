// Pushes changes from control hosts to entry hosts.
#include "base/codec.hpp"
#include "base/log.hpp"
#include "fleet/registry_node.hpp"
#include "routing/placement.hpp"

#include <algorithm>
#include <set>

namespace guavashed
{
namespace
{

/// Entry hosts that lack the same changes share one encoding for this long, which bounds the age
/// of the remaining warm-up times in it.
constexpr milliseconds max_encoded_age{50};

} // namespace

void registry_node::on_entry_report(frame_session_ptr const& session, entry_report message)
{
    instant const now = instant::clock::now();
    auto const [at, first] = entry_sessions_.try_emplace(session.get());
    entry_session& entry = at->second;
    bool const ready_before = entry.report.ready;
    entry.session = session;
    entry.report = std::move(message);
    entry.position.view_index = entry.report.view_index;
    entry.position.is_source = entry.report.is_source;
    if (first)
    {
        entry.position.began_empty = entry.report.view_index == 0;
        feed_.note_entries(entry_sessions_.size());
    }
    if (first || ready_before != entry.report.ready)
        log_change(log_level::info, "entry_host",
                   "host=" + entry.report.host.value() +
                       " ready=" + (entry.report.ready ? "1" : "0") +
                       " view=" + std::to_string(entry.report.view_index));
    send_status(entry);
    push_to(now, entry);
}

void registry_node::update_directory(instant now)
{
    std::uint64_t const before = directory_.epoch();
    directory_.update(now, role() != group_role::no_leader, raft_->membership(), known_controls_);
    if (directory_.epoch() == before)
        return;
    log_change(log_level::info, "control_status",
               std::string("has_leader=") + (directory_.status().has_leader ? "1" : "0") +
                   " members=" + std::to_string(directory_.status().members.size()) +
                   " others=" + std::to_string(directory_.status().others.size()));
    for (auto& [session, entry] : entry_sessions_)
        send_status(entry);
}

void registry_node::send_status(entry_session& entry)
{
    if (entry.sent_status == directory_.epoch())
        return;
    entry.sent_status = directory_.epoch();
    // A session whose queue is full closes itself and erases this entry later.
    entry.session->send(frame_type::control_status, encode(directory_.status()));
}

void registry_node::push_changes(instant now)
{
    for (auto& [session, entry] : entry_sessions_)
        push_to(now, entry);
}

void registry_node::note_changes(instant now)
{
    feed_.note_change(std::max(register_.changed().value(), feed_.newest()), now);
}

group_role registry_node::role() const
{
    if (raft_->leader() == host_name())
        return group_role::no_leader;
    return raft_->is_leader() ? group_role::leader : group_role::follower;
}

void registry_node::push_to(instant now, entry_session& entry)
{
    if (entry.session == nullptr)
        return;
    push_decision const decision = feed_.decide(now, role(), entry.position);
    if (!decision.push)
        return;
    feed_.record_push(now, decision, entry.position);
    std::string const& bytes = changes_for(entry.position.view_index, decision.with_entries, now);
    ++counters_.pushes;
    counters_.pushed_bytes += bytes.size();
    // A session whose queue is full closes itself and erases this entry later.
    entry.session->send(frame_type::fleet_changes, bytes);
}

std::string const& registry_node::changes_for(std::uint64_t index, bool with_entries, instant now)
{
    std::uint64_t const epoch = with_entries ? feed_.entries_epoch() : 0;
    bool const same = encoded_.from == index && encoded_.to == feed_.newest() &&
                      encoded_.entries_epoch == epoch && now < encoded_.until;
    if (!same)
        encoded_ = {index, feed_.newest(), epoch, now + max_encoded_age,
                    encode(changes_since(index, with_entries, now))};
    return encoded_.bytes;
}

fleet_changes registry_node::changes_since(std::uint64_t index, bool with_entries,
                                           instant now) const
{
    fleet_changes out;
    out.from = index;
    out.to = feed_.newest();
    out.whole = index == 0;
    if (register_.config_changed().value() > index || out.whole)
        if (register_.version() != config_version())
            out.config = register_.config();
    // A whole view goes to hosts that know nothing: without a change so far, no keys are required.
    if (register_.access_changed().value() > index)
        out.access = register_.access();
    for (auto const& [id, held] : register_.upstreams())
        if (held.changed.value() > index || out.whole)
            out.upstreams.push_back({held.row, register_.cold_left_ms(id, now), false});
    if (!out.whole)
        for (auto const& [id, departure] : register_.departures())
            if (departure.changed.value() > index)
            {
                upstream_change gone;
                gone.row.id = id;
                gone.row.born_ms = departure.born_ms;
                gone.gone = true;
                out.upstreams.push_back(std::move(gone));
            }
    out.evacuated.assign(register_.evacuated().begin(), register_.evacuated().end());
    if (!with_entries)
        return out;
    std::set<std::uint64_t> entries;
    for (auto const& [session, entry] : entry_sessions_)
        entries.insert(entry_hash(entry.report.host));
    out.entries.assign(entries.begin(), entries.end());
    return out;
}

} // namespace guavashed
