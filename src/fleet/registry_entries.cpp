// How control hosts tell entry hosts what has changed.
#include "codec.hpp"
#include "fleet/registry_node.hpp"
#include "log.hpp"
#include "routing/placement.hpp"

#include <algorithm>
#include <set>

namespace guavashed
{
namespace
{

/// Followers push only what the leader's push has not brought by then: a new leader takes as long
/// to be elected.
constexpr milliseconds follower_delay{900};
/// Changes of so long go out together; several may come each second.
constexpr milliseconds push_interval{200};
/// Entry hosts come in numbers after a loss of power; the rate at which they warm upstreams bears
/// an older list.
constexpr milliseconds entries_interval{2000};
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

bool registry_node::push_due(instant now, entry_session const& entry) const
{
    if (raft_->leader() == host_name() || entry.session == nullptr || now < entry.push_due)
        return false;
    bool const leads = raft_->is_leader();
    bool const behind = entry.said.view_index < newest_change();
    if (entry.said.view_index == 0)
        return entry.said.pull && now >= entry.resend;
    if (!behind)
        return leads && entry.sent_entries != entries_epoch_ && now >= entry.entries_due;
    bool const sent = entry.sent_to >= newest_change();
    if (sent && now < entry.resend)
        return false;
    return leads || entry.said.pull || now >= last_change_ + follower_delay;
}

std::uint64_t registry_node::newest_change() const
{
    return std::max(register_.changed().value(), std::uint64_t{1});
}

void registry_node::push_to(instant now, entry_session& entry)
{
    if (!push_due(now, entry))
        return;
    bool const with_entries = entry.sent_entries != entries_epoch_ && now >= entry.entries_due;
    entry.sent_to = newest_change();
    entry.push_due = now + push_interval;
    entry.resend = now + resend_after;
    if (with_entries)
    {
        entry.sent_entries = entries_epoch_;
        entry.entries_due = now + entries_interval;
    }
    std::string bytes = encode(changes_since(entry.said.view_index, with_entries, now));
    ++counters_.pushes;
    counters_.pushed_bytes += bytes.size();
    // A session whose queue is full closes itself and erases this entry later.
    entry.session->send(frame_type::fleet_changes, std::move(bytes));
}

fleet_changes registry_node::changes_since(std::uint64_t index, bool with_entries,
                                           instant now) const
{
    fleet_changes out;
    out.from = index;
    out.to = newest_change();
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
    if (!with_entries)
        return out;
    std::set<std::uint64_t> entries;
    for (auto const& [session, entry] : entries_)
        if (entry.said.ready)
            entries.insert(entry_hash(entry.said.host));
    out.entries.assign(entries.begin(), entries.end());
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
