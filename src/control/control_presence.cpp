// Presence of entry hosts, the state that is pushed to them, the assignment of seats, and the time
// at which a version is in force on every present host.
#include "base/codec.hpp"
#include "control/control_node.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr milliseconds presence_lease{2500};
constexpr milliseconds push_interval{250};
/// Load pushes to a host are at least this far apart for each host that is present in its region,
/// so that the total rate of loads does not grow with the square of the region's size.
constexpr milliseconds load_interval_per_host{20};
/// How long past the replica's freshness an entry host may treat its configuration as the newest.
constexpr milliseconds configuration_lease{2000};
/// At most this much of the replica's own remaining freshness is added to the configuration lease.
constexpr milliseconds max_freshness_left{400};
/// A host that has been absent for this long loses its seat. Entry hosts stop using their share
/// earlier (`seat_validity` in entry_state.cpp), so that a seat never counts twice.
constexpr std::chrono::hours seat_retention{2};

} // namespace

// Does nothing while log entries await their application, so that a seat is not proposed twice.
void control_node::assign_seats(instant now)
{
    if (raft_->last_index() != replica_->applied())
        return;
    std::vector<seat> seats = state_.fleet().seats;
    for (auto const& row : presence_.rows())
    {
        region_config const* region = find_region(state_.fleet().config, row.region);
        bool const seated = std::any_of(
            seats.begin(), seats.end(),
            [&](seat const& item) { return item.host == row.host && item.region == row.region; });
        if (region == nullptr || seated || row.phase == host_phase::leaving)
            continue;
        auto const position = find_free_seat(now, *region, seats);
        if (!position)
            continue;
        control_command command;
        command.kind = control_command_kind::take_seat;
        command.taken = {row.host, row.region, *position};
        command.at_ms = wall_ms(std::chrono::system_clock::now());
        if (!propose(command))
            return;
        std::erase_if(seats, [&](seat const& item)
                      { return item.region == row.region && item.position == *position; });
        seats.push_back(command.taken);
    }
}

/// The first position without a holder, or whose holder has been absent for `seat_retention` and no
/// longer uses its share. A new leader counts absence from its election at the earliest, since
/// its own presence table may be younger.
std::optional<std::uint32_t> control_node::find_free_seat(instant now, region_config const& region,
                                                          std::vector<seat> const& seats) const
{
    for (std::uint32_t position = 0; position < region.entry_hosts; ++position)
    {
        auto const holder =
            std::find_if(seats.begin(), seats.end(),
                         [&](seat const& item)
                         { return item.region == region.name && item.position == position; });
        bool const free =
            holder == seats.end() ||
            std::max(presence_.last_seen(holder->host), leader_since_) + seat_retention <= now;
        if (free)
            return position;
    }
    return std::nullopt;
}

void control_node::on_presence(frame_session_ptr const& session, std::string const& payload)
{
    auto row = decode<host_row>(payload, session->peer());
    if (!row)
    {
        ++counters_.bad_frames;
        return session->close();
    }
    instant const now = instant::clock::now();
    auto const [at, added] = entries_.try_emplace(session.get());
    entry_session& entry = at->second;
    entry.session = session;
    entry.host = row.value().host;
    entry.region = row.value().region;
    bool const advanced = entry.acknowledged_version < row.value().version;
    entry.acknowledged_version = row.value().version;
    entry.sent_version = std::max(entry.sent_version, entry.acknowledged_version);
    host_row const* known = presence_.find(entry.host);
    bool const phase_changed = known == nullptr || known->phase != row.value().phase;
    presence_.renew(now, row.value(), now + presence_lease);
    if (advanced || phase_changed)
        share_presence();
    if (added)
        push_to(now, entry);
}

void control_node::on_peer_presence(std::string const& payload)
{
    auto shared = decode<peer_presence>(payload, "control host");
    if (!shared)
    {
        ++counters_.bad_frames;
        return;
    }
    instant const now = instant::clock::now();
    for (auto const& row : shared.value().rows)
        presence_.renew(now, row, now + presence_lease);
}

void control_node::share_presence()
{
    peer_presence out;
    for (auto const& [session, entry] : entries_)
        if (host_row const* row = presence_.find(entry.host))
            out.rows.push_back(*row);
    if (out.rows.empty())
        return;
    std::string const bytes = encode(out);
    for (auto& [host, peer] : peers_)
        peer.link->send(frame_type::peer_presence, bytes);
}

void control_node::push_to(instant now, entry_session& entry)
{
    entry.next_push = now + push_interval;
    instant const fresh = raft_->fresh_until();
    if (fresh > now)
    {
        configuration_push out;
        out.version = state_.version();
        out.lease_left_ms = remaining_ms(std::min(fresh, now + max_freshness_left), now) +
                            static_cast<std::uint32_t>(configuration_lease.count());
        if (entry.sent_version < state_.version())
            out.config = state_.fleet().config;
        out.seats_version = state_.seats_version();
        out.seats = seats_of(entry.host);
        entry.sent_version = state_.version();
        ++counters_.pushes;
        if (!entry.session->send(frame_type::configuration, encode(out)))
            return;
    }
    push_view(now, entry);
}

void control_node::push_view(instant now, entry_session& entry)
{
    view_push const view = presence_.changes_since(entry.view_sent);
    if (view.whole || !view.changed.empty() || !view.gone.empty())
        entry.session->send(frame_type::view, encode(view));
    if (now < entry.next_loads)
        return;
    auto const load_interval =
        load_interval_per_host * static_cast<int>(presence_.count_in(entry.region));
    entry.next_loads = now + std::max(push_interval, load_interval);
    load_push const loads = presence_.loads_since(entry.loads_sent, entry.region);
    if (!loads.loads.empty())
        entry.session->send(frame_type::loads, encode(loads));
}

std::vector<seat> control_node::seats_of(host_name const& host) const
{
    std::vector<seat> out;
    for (auto const& held : state_.fleet().seats)
        if (held.host == host)
            out.push_back(held);
    return out;
}

void control_node::push_changed_state(instant now)
{
    if (pushed_version_ == state_.version())
        return;
    pushed_version_ = state_.version();
    for (auto& [session, entry] : entries_)
        push_to(now, entry);
}

void control_node::record_in_force(instant now)
{
    bool const any_pending =
        std::any_of(accepted_versions_.begin(), accepted_versions_.end(),
                    [](accepted_version const& item) { return !item.in_force; });
    if (!any_pending)
        return;
    config_version oldest = state_.version();
    for (auto const& row : presence_.rows())
        oldest = std::min(oldest, row.version);
    for (auto& item : accepted_versions_)
        if (!item.in_force && item.version <= oldest)
            item.in_force = now;
}

} // namespace guavashed
