// Applies committed commands to the fleet register, and saves and loads it.
#include "fleet/fleet_register.hpp"

#include "base/codec.hpp"
#include "base/invariant.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Accepted requests remembered to recognise resends; a day has hundreds of changes.
constexpr std::size_t max_accepted_requests = 4096;
/// Removed upstreams remembered, so that delayed announcements do not register them again.
constexpr std::size_t max_departures = 4096;
/// An announced warm-up time that exceeds the recorded one by less is not replicated.
constexpr milliseconds cold_tolerance{700};
/// Upstreams of a restored failure domain may have become cold since their last announcement;
/// covers one announcement interval and its delivery.
constexpr milliseconds restore_margin{2000};

} // namespace

register_outcome fleet_register::apply(log_index index, register_command const& command,
                                       instant now)
{
    switch (command.kind)
    {
    case register_command_kind::configure:
        return configure(index, command);
    case register_command_kind::announce:
        announce(index, command, now);
        break;
    case register_command_kind::leave:
        return leave(index, command);
    case register_command_kind::forget:
        depart(index, command.upstream.id, command.upstream.born_ms, true);
        break;
    case register_command_kind::evacuate:
        return evacuate(index, command);
    case register_command_kind::restore:
        return restore(index, command, now);
    }
    return register_outcome::accepted;
}

std::optional<register_outcome> fleet_register::outcome_of(std::uint64_t request_hash) const
{
    if (accepted_hashes_.contains(request_hash))
        return register_outcome::accepted;
    return std::nullopt;
}

register_outcome fleet_register::configure(log_index index, register_command const& command)
{
    if (accepted_hashes_.contains(command.request_hash))
        return register_outcome::accepted;
    if (command.base != config_.version)
        return register_outcome::conflict;
    if (command.config.version <= config_.version)
        return register_outcome::stale_version;
    config_ = command.config;
    document_ = command.document;
    config_changed_ = index;
    if (access_ != command.access)
    {
        access_ = command.access;
        access_changed_ = index;
    }
    changed_ = index;
    accepted_hashes_.insert(command.request_hash);
    accepted_fifo_.push_back(command.request_hash);
    if (accepted_fifo_.size() > max_accepted_requests)
    {
        accepted_hashes_.erase(accepted_fifo_.front());
        accepted_fifo_.pop_front();
    }
    return register_outcome::accepted;
}

bool fleet_register::claim_address(register_command const& command, log_index index)
{
    upstream_row const& row = command.upstream;
    std::vector<std::pair<upstream_name, std::int64_t>> replaced;
    for (auto const& [id, held] : upstreams_)
    {
        if (id == row.id || held.row.address != row.address)
            continue;
        // A delayed announcement of an ended incarnation must not displace its successor.
        if (held.row.born_ms > row.born_ms)
            return false;
        replaced.emplace_back(id, held.row.born_ms);
    }
    for (auto const& [id, born_ms] : replaced)
        depart(index, id, born_ms, false);
    return true;
}

void fleet_register::announce(log_index index, register_command const& command, instant now)
{
    upstream_row const& row = command.upstream;
    auto const gone = departures_.find(row.id);
    if (gone != departures_.end())
    {
        bool const newer_incarnation = row.born_ms > gone->second.born_ms;
        bool const same_incarnation = row.born_ms == gone->second.born_ms;
        if (!newer_incarnation && !(same_incarnation && gone->second.may_return))
            return;
    }
    auto held = upstreams_.find(row.id);
    if (held != upstreams_.end())
    {
        registered_upstream const& known = held->second;
        bool const older = row.born_ms < known.row.born_ms ||
                           (row.born_ms == known.row.born_ms && command.sequence < known.sequence);
        if (older)
            return;
    }
    if (!claim_address(command, index))
        return;
    if (gone != departures_.end())
        departures_.erase(row.id);
    registered_upstream& entry = upstreams_[row.id];
    bool const leaving = entry.row.draining && entry.row.born_ms == row.born_ms;
    entry.row = row;
    entry.row.draining = row.draining || leaving;
    entry.sequence = command.sequence;
    entry.changed = index;
    changed_ = index;
    if (command.cold_left_ms > 0)
    {
        ++entry.cold_epoch;
        cold_until_[row.id] = now + milliseconds(command.cold_left_ms);
    }
    else
        cold_until_.erase(row.id);
}

register_outcome fleet_register::leave(log_index index, register_command const& command)
{
    auto const held = upstreams_.find(command.upstream.id);
    bool const is_later_incarnation =
        held != upstreams_.end() && held->second.row.born_ms > command.upstream.born_ms;
    if (is_later_incarnation && command.known_index != register_command::any_index)
        return register_outcome::outdated;
    depart(index, command.upstream.id, command.upstream.born_ms, false);
    return register_outcome::accepted;
}

void fleet_register::depart(log_index index, upstream_name const& id, std::int64_t born_ms,
                            bool may_return)
{
    auto const held = upstreams_.find(id);
    if (held != upstreams_.end())
    {
        if (held->second.row.born_ms > born_ms && born_ms != 0)
            return;
        if (may_return && held->second.row.born_ms != born_ms)
            return;
        born_ms = held->second.row.born_ms;
        upstreams_.erase(held);
        cold_until_.erase(id);
    }
    else if (may_return)
        return;
    // A resent leave request has no start time; keep the one that the first recorded.
    departure& gone = departures_[id];
    gone.born_ms = std::max(gone.born_ms, born_ms);
    gone.changed = index;
    gone.may_return = may_return;
    changed_ = index;
    trim_departures();
}

bool fleet_register::is_outdated(register_command const& evacuation) const
{
    auto const changed = evacuation_changed_.find(evacuation.domain);
    return changed != evacuation_changed_.end() && changed->second > evacuation.known_index;
}

register_outcome fleet_register::evacuate(log_index index, register_command const& command)
{
    if (evacuated_.contains(command.domain))
        return register_outcome::accepted;
    if (is_outdated(command))
        return register_outcome::outdated;
    evacuated_.insert(command.domain);
    evacuation_changed_[command.domain] = index;
    changed_ = index;
    return register_outcome::accepted;
}

register_outcome fleet_register::restore(log_index index, register_command const& command,
                                         instant now)
{
    failure_domain_name const& domain = command.domain;
    if (!evacuated_.contains(domain))
        return register_outcome::accepted;
    if (is_outdated(command))
        return register_outcome::outdated;
    evacuated_.erase(domain);
    evacuation_changed_[domain] = index;
    changed_ = index;
    for (auto& [id, held] : upstreams_)
    {
        if (held.row.domain != domain)
            continue;
        routed_service const* service = config_.find_service(held.row.service);
        double const warmup_s = service == nullptr ? 0 : service->warmup_s;
        cold_until_[id] =
            now + milliseconds(static_cast<std::int64_t>(warmup_s * 1000)) + restore_margin;
        held.changed = index;
    }
    return register_outcome::accepted;
}

void fleet_register::trim_departures()
{
    while (departures_.size() > max_departures)
    {
        auto const oldest = std::min_element(departures_.begin(), departures_.end(),
                                             [](auto const& left, auto const& right) {
                                                 return left.second.changed < right.second.changed;
                                             });
        departures_.erase(oldest);
    }
}

bool fleet_register::reflects(upstream_row const& row, std::uint32_t cold_left_ms,
                              instant now) const
{
    auto const gone = departures_.find(row.id);
    if (gone != departures_.end() && !gone->second.may_return &&
        row.born_ms <= gone->second.born_ms)
        return true;
    auto const held = upstreams_.find(row.id);
    if (held == upstreams_.end())
        return false;
    if (row.born_ms < held->second.row.born_ms)
        return true;
    upstream_row known = held->second.row;
    if (known.draining && !row.draining && known.born_ms == row.born_ms)
        known.draining = false;
    if (!(known == row))
        return false;
    milliseconds const announced(cold_left_ms);
    milliseconds const recorded(this->cold_left_ms(row.id, now));
    bool const colder = announced > recorded + cold_tolerance;
    return !colder;
}

std::optional<std::string> fleet_register::contradiction(upstream_row const& row) const
{
    auto const held = upstreams_.find(row.id);
    if (held != upstreams_.end() && held->second.row.service != row.service &&
        held->second.row.born_ms == row.born_ms)
        return "this incarnation belongs to service " + held->second.row.service.value();
    if (config_.find_service(row.service) != nullptr)
        return std::nullopt;
    for (auto const& [id, other] : upstreams_)
    {
        bool const is_replaced = id == row.id || other.row.address == row.address;
        if (is_replaced && other.row.service != row.service &&
            config_.find_service(other.row.service) != nullptr)
            return "would replace upstream " + id.value() + " of service " +
                   other.row.service.value() + " by one of a service that is not configured";
    }
    return std::nullopt;
}

std::uint32_t fleet_register::cold_left_ms(upstream_name const& id, instant now) const
{
    auto const at = cold_until_.find(id);
    return at == cold_until_.end() ? 0 : remaining_ms(at->second, now);
}

std::string fleet_register::save() const
{
    return encode(*this);
}

result<void> fleet_register::load(std::string const& bytes)
{
    if (bytes.empty())
        return boost::outcome_v2::success();
    BOOST_OUTCOME_TRY(auto loaded, decode<fleet_register>(bytes, "snapshot"));
    loaded.cold_until_ = std::move(cold_until_);
    *this = std::move(loaded);
    return boost::outcome_v2::success();
}

} // namespace guavashed
