/// \file
/// Defines fleet_register, the replicated state of configuration, upstreams and evacuations.
#pragma once

#include "base/instant.hpp"
#include "control/raft_messages.hpp"
#include "fleet/register_command.hpp"

#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/vector.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace guavashed
{

/// An upstream with the log index of its last change.
struct registered_upstream
{
    upstream_row row;
    std::uint64_t sequence = 0;
    log_index changed;
    /// Incremented at each announcement that starts a warm-up.
    std::uint64_t cold_epoch = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(row, sequence, changed, cold_epoch);
    }
};

/// Replicated state machine: the same commands give the same state on each replica. Only the
/// warm-up times behind `cold_left_ms` are local to a replica. Thread safety: none; used on the
/// control event loop only.
class fleet_register
{
public:
    /// Precondition: entries are applied in order of the log, each once.
    register_outcome apply(log_index index, register_command const& command, instant now);

    /// True when applying the announcement would change nothing that entry hosts need.
    bool reflects(upstream_row const& row, std::uint32_t cold_left_ms, instant now) const;
    /// Why the announcement contradicts what a registered upstream has announced of itself; empty
    /// when it does not. Such an announcement must not be applied, since another program sent it.
    std::optional<std::string> contradiction(upstream_row const& row) const;
    /// Outcome of a configuration request that was applied before; empty when it is unknown.
    std::optional<register_outcome> outcome_of(std::uint64_t request_hash) const;

    config_version version() const { return config_.version; }
    routing_config const& config() const { return config_; }
    std::string const& document() const { return document_; }
    log_index config_changed() const { return config_changed_; }
    access_config const& access() const { return access_; }
    /// Log index of the last configuration that altered `access`; 0 if none has.
    log_index access_changed() const { return access_changed_; }
    /// Log index of the last change that entry hosts need.
    log_index changed() const { return changed_; }
    std::map<upstream_name, registered_upstream> const& upstreams() const { return upstreams_; }
    /// A removed upstream, with the log index of its removal.
    struct departure
    {
        std::int64_t born_ms = 0;
        log_index changed;
        /// Removed for missed announcements: the same incarnation may register again.
        bool may_return = false;
        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(born_ms, changed, may_return);
        }
    };
    std::map<upstream_name, departure> const& departures() const { return departures_; }
    std::set<failure_domain_name> const& evacuated() const { return evacuated_; }
    /// Remaining warm-up time of the upstream by this replica's clock; 0 when it is warm.
    std::uint32_t cold_left_ms(upstream_name const& id, instant now) const;

    /// Encodes the state for a snapshot, and restores it; empty bytes leave the state as it is.
    std::string save() const;
    result<void> load(std::string const& bytes);

    static constexpr std::uint16_t wire_version = 3;
    static constexpr std::uint16_t oldest_wire_version = 1;
    template <class Archive>
    void serialize(Archive& archive)
    {
        read_version(archive, wire_version);
    }
    /// Version 1 had no `evacuation_changed_`, and version 2 no access configuration.
    template <class Archive>
    void read_version(Archive& archive, std::uint16_t version)
    {
        archive(config_, document_, config_changed_, changed_, upstreams_, departures_, evacuated_,
                accepted_hashes_, accepted_fifo_);
        if (version >= 2)
            archive(evacuation_changed_);
        if (version >= 3)
            archive(access_, access_changed_);
    }

private:
    register_outcome configure(log_index index, register_command const& command);
    void announce(log_index index, register_command const& command, instant now);
    void depart(log_index index, upstream_name const& id, std::int64_t born_ms, bool may_return);
    register_outcome leave(log_index index, register_command const& command);
    bool claim_address(register_command const& command, log_index index);
    register_outcome evacuate(log_index index, register_command const& command);
    register_outcome restore(log_index index, register_command const& command, instant now);
    bool is_outdated(register_command const& evacuation) const;
    void trim_departures();

    routing_config config_;
    std::string document_;
    log_index config_changed_;
    access_config access_;
    log_index access_changed_;
    log_index changed_;
    std::map<upstream_name, registered_upstream> upstreams_;
    std::map<upstream_name, departure> departures_;
    std::set<failure_domain_name> evacuated_;
    /// Log index of the last evacuation or restore of a failure domain.
    std::map<failure_domain_name, log_index> evacuation_changed_;
    /// Hashes of accepted configuration requests, by which resends are recognised.
    std::set<std::uint64_t> accepted_hashes_;
    /// The same, oldest first.
    std::deque<std::uint64_t> accepted_fifo_;
    /// Ends of warm-ups by the local clock; not replicated.
    std::unordered_map<upstream_name, instant> cold_until_;
};

} // namespace guavashed
