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
    /// Rises each time that the upstream turns cold.
    std::uint64_t cold_epoch = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(row, sequence, changed, cold_epoch);
    }
};

/// The same commands give the same state on each replica; only `cold_left_ms` is each replica's
/// own. Thread safety: none; the control duty owns it.
class fleet_register
{
public:
    /// Precondition: entries are applied in order of the log, each once.
    register_outcome apply(log_index index, register_command const& command, instant now);

    /// True when applying the announcement would change nothing that entry hosts need.
    bool reflects(upstream_row const& row, std::uint32_t cold_left_ms, instant now) const;
    /// The outcome of an order that was applied before; none when it is not known.
    std::optional<register_outcome> outcome_of(std::uint64_t order_hash) const;

    config_version version() const { return config_.version; }
    routing_config const& config() const { return config_; }
    std::string const& document() const { return document_; }
    log_index config_changed() const { return config_changed_; }
    /// Index of the last change that entry hosts need.
    log_index changed() const { return changed_; }
    std::map<upstream_name, registered_upstream> const& upstreams() const { return upstreams_; }
    /// Upstreams that are gone, with the index at which they went.
    struct departure
    {
        std::int64_t born_ms = 0;
        log_index changed;
        bool may_return = false;
        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(born_ms, changed, may_return);
        }
    };
    std::map<upstream_name, departure> const& departures() const { return departures_; }
    std::set<failure_domain_name> const& evacuated() const { return evacuated_; }
    /// How long that upstream stays cold, by this replica's clock; 0 when it is warm.
    std::uint32_t cold_left_ms(upstream_name const& id, instant now) const;

    /// Bytes for a snapshot, and back.
    std::string save() const;
    result<void> load(std::string const& bytes);

    static constexpr std::uint16_t wire_version = 1;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(config_, document_, config_changed_, changed_, upstreams_, departures_, evacuated_,
                accepted_hashes_, accepted_fifo_);
    }

private:
    register_outcome configure(log_index index, register_command const& command);
    void announce(log_index index, register_command const& command, instant now);
    void depart(log_index index, upstream_name const& id, std::int64_t born_ms, bool may_return);
    bool claim_address(register_command const& command, log_index index);
    void restore(log_index index, failure_domain_name const& domain, instant now);
    void trim_departures();

    routing_config config_;
    std::string document_;
    log_index config_changed_;
    log_index changed_;
    std::map<upstream_name, registered_upstream> upstreams_;
    std::map<upstream_name, departure> departures_;
    std::set<failure_domain_name> evacuated_;
    std::set<std::uint64_t> accepted_hashes_;
    /// The same, oldest first.
    std::deque<std::uint64_t> accepted_fifo_;
    std::unordered_map<upstream_name, instant> cold_until_;
};

} // namespace guavashed
