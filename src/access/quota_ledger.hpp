/// \file
/// Defines quota_ledger, by which the leader of the control hosts divides the limit of each
/// workspace among the entry hosts.
#pragma once

#include "access/access_config.hpp"
#include "access/lease_messages.hpp"
#include "access/quota_bucket.hpp"
#include "base/instant.hpp"

#include <cstdint>
#include <queue>
#include <unordered_map>
#include <vector>

namespace guavashed
{

/// Thread safety: none; owned by the control event loop. An exchange takes time proportional to the
/// uses in the request, whatever the number of hosts and workspaces.
class quota_ledger
{
public:
    /// With a `window_s` of 0, no limit is in force and no lines are granted.
    explicit quota_ledger(quota_settings settings);

    /// Puts the limits of a configuration in force. Workspaces that had no limit start with a full
    /// bucket, or with an empty one while lines of a former leader may be in use. May be called on
    /// every control host, leader or not.
    void configure(access_config const& access, instant now);
    /// This host has become the leader: credit lines of the one before may still be in use. Call it
    /// once per term, before the first exchange, on any change of the leader, also when the same
    /// host is elected again. A leader that has not applied all committed entries must configure
    /// before its first exchange.
    void begin_term(instant now);
    /// Charges the uses that the host reports, and returns its new credit lines, one for each
    /// reported workspace. One without a limit here gets what is wanted, since the host only has
    /// yet to learn that its limit was removed. Precondition: configured with all changes that any
    /// host may know. Requests of an earlier life, and those that are repeated or
    /// were overtaken by a later one, are not charged and get no lines.
    std::vector<credit_line> exchange(lease_request const& request, instant now);

    /// Workspaces with a limit.
    std::size_t limited_workspaces() const { return buckets_.size(); }
    /// Hosts whose exchanges are remembered.
    std::size_t known_hosts() const { return hosts_.size(); }
    /// The bucket of a workspace, as of its last exchange; null when it has no limit.
    quota_bucket const* find(workspace_name const& workspace) const;

private:
    struct host_record
    {
        quota_host_index index;
        std::uint64_t life = 0;
        std::uint64_t number = 0;
        instant last_exchange;
    };
    struct host_check
    {
        instant at;
        host_name host;
        bool operator>(host_check const& other) const { return at > other.at; }
    };

    instant advance_clock(instant now);
    /// Last exchanges as this ledger knows them. Valid as long as the ledger.
    quota_bucket::host_activity host_activity() const;
    void forget_hosts(instant now);
    host_record* accept(lease_request const& request, instant now);

    quota_settings settings_;
    instant clock_;
    instant former_lines_until_;
    std::uint32_t next_index_ = 0;
    std::unordered_map<workspace_name, quota_bucket> buckets_;
    std::unordered_map<host_name, host_record> hosts_;
    std::unordered_map<quota_host_index, instant> last_exchange_;
    std::priority_queue<host_check, std::vector<host_check>, std::greater<>> checks_;
};

} // namespace guavashed
