// How control hosts tell entry hosts what has changed.
#include "codec.hpp"
#include "fleet/registry_node.hpp"
#include "log.hpp"

#include <algorithm>
#include <set>

namespace guavashed
{
namespace
{

/// Followers push only what the leader's push has not brought by then.
constexpr milliseconds follower_delay{250};
/// A push that an entry host has not confirmed by then is sent again.
constexpr milliseconds resend_after{1000};

} // namespace

void registry_node::on_entry_report(frame_session_ptr const& session, entry_report message)
{
    instant const now = instant::clock::now();
    auto const [at, first] = entries_.try_emplace(session.get());
    entry_session& entry = at->second;
    bool const ready_before = entry.said.ready;
    entry.session = session;
    entry.said = std::move(message);
    entry.heard = now;
    if (first || ready_before != entry.said.ready)
    {
        ++entries_epoch_;
        log_change(log_level::info, "entry_host",
                   "host=" + entry.said.host.value() + " ready=" + (entry.said.ready ? "1" : "0") +
                       " view=" + std::to_string(entry.said.view_index));
    }
    push_to(now, entry);
}

void registry_node::push_changes(instant now)
{
    for (auto& [session, entry] : entries_)
        push_to(now, entry);
}

void registry_node::push_to(instant now, entry_session& entry)
{
    if (raft_->leader() == host_name() || entry.session == nullptr)
        return;
    std::uint64_t const newest = std::max(register_.changed().value(), std::uint64_t{1});
    bool const behind = entry.said.view_index < newest;
    bool const entries_due = raft_->is_leader() && entry.sent_entries != entries_epoch_;
    if (!behind && !entries_due)
        return;
    bool const sent = entry.sent_to >= newest;
    if (behind && sent && !entries_due && now < entry.resend)
        return;
    bool const new_host = entry.said.view_index == 0;
    if (!raft_->is_leader() && !new_host && now < last_change_ + follower_delay)
        return;
    entry.sent_to = newest;
    entry.sent_entries = entries_epoch_;
    entry.resend = now + resend_after;
    std::string bytes = encode(changes_since(entry.said.view_index, now));
    ++counters_.pushes;
    counters_.pushed_bytes += bytes.size();
    // A session whose queue is full closes itself and erases this entry later.
    entry.session->send(frame_type::fleet_changes, std::move(bytes));
}

fleet_changes registry_node::changes_since(std::uint64_t index, instant now) const
{
    fleet_changes out;
    out.from = index;
    out.to = std::max(register_.changed().value(), std::uint64_t{1});
    out.whole = index == 0;
    if (register_.config_changed().value() > index || out.whole)
        if (register_.version() != config_version())
            out.config = register_.config();
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
    std::set<host_name> names;
    for (auto const& [session, entry] : entries_)
        if (entry.said.ready)
            names.insert(entry.said.host);
    out.entries.assign(names.begin(), names.end());
    std::set<endpoint_text> controls;
    for (auto const& member : raft_->membership().members)
        controls.insert(endpoint_text(member.host.value()));
    for (auto const& [host, control] : known_)
        controls.insert(endpoint_text(host.value()));
    controls.insert(settings_.peer_listen);
    out.controls.assign(controls.begin(), controls.end());
    return out;
}

} // namespace guavashed
