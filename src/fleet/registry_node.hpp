/// \file
/// Defines registry_node, a control host: one replica of the fleet register, and its servers.
#pragma once

#include "access/lease_messages.hpp"
#include "access/quota_ledger.hpp"
#include "base/metric_sink.hpp"
#include "base/ticker.hpp"
#include "control/replica_driver.hpp"
#include "fleet/control_directory.hpp"
#include "fleet/fleet_register.hpp"
#include "fleet/founding_vote.hpp"
#include "fleet/membership_planner.hpp"
#include "fleet/registry_protocol.hpp"
#include "fleet/view_feed.hpp"
#include "fleet/view_messages.hpp"
#include "transport/frame_link.hpp"
#include "transport/http_server.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace guavashed
{

struct registry_settings
{
    /// Also the host's name in the group, so that the log holds the addresses of all members.
    endpoint_text peer_listen;
    endpoint_text operator_listen;
    endpoint_text resolve_listen;
    /// Serves metrics; none when empty.
    endpoint_text metrics_listen;
    std::string data_folder;
    /// Peer endpoints of some control hosts; the others are learned from these.
    std::vector<endpoint_text> seeds;
    /// First start of the system: the seeds found the group, and go on with that if they restart.
    bool founding = false;
    /// Interval of upstreams' announcements.
    milliseconds announce_interval{1500};
    /// Time for which callers may cache the answer of a look-up.
    milliseconds lookup_cache_time{2000};
    /// How far limits of workspaces may be exceeded; a window of 0 where limits are not in force.
    quota_settings quota;
};

struct registry_counters
{
    std::uint64_t announcements = 0;
    std::uint64_t orders = 0;
    std::uint64_t refused = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t lookups = 0;
    std::uint64_t pushes = 0;
    std::uint64_t pushed_bytes = 0;
    std::uint64_t leaders_seen = 0;
    std::uint64_t bad_frames = 0;
    /// Received from entry hosts and from control hosts that passed them on.
    std::uint64_t lease_requests = 0;
    std::uint64_t lease_grants = 0;
    std::uint64_t leases_forwarded = 0;
    std::uint64_t lease_grants_passed_on = 0;
};

/// Runs on its own event loop, with a storage thread. Thread safety: construct, `start`, `leave`
/// and `stop` from the main thread; all else on the event loop.
class registry_node : public frame_handler
{
public:
    /// `on_failure` runs once when the disk fails; the process must end then, since it must never
    /// acknowledge what it has not synced. Precondition: `protocol` outlives this.
    registry_node(registry_settings settings, registry_protocol const& protocol,
                  std::function<void()> on_failure);
    ~registry_node() override;

    /// Opens the data folder and the ports.
    result<void> start();
    /// Hands leadership over before a planned stop, until this host doesn't lead and no request is
    /// pending, or until `until`; then answers what has arrived, closes the ports and returns.
    void leave(instant until);
    void stop();
    /// Peer endpoints in reloaded settings; connects to those that are new. Thread safe.
    void add_seeds(std::vector<endpoint_text> seeds);

    void on_open(frame_session_ptr const& session) override;
    void on_frame(frame_session_ptr const& session, frame&& item) override;
    void on_close(frame_session_ptr const& session) override;

private:
    class port;

    /// A request that waits until its command is applied on this host.
    struct pending_request
    {
        std::shared_ptr<http_exchange> exchange;
        std::string command;
        std::string subject;
        instant until;
    };
    struct pending_read
    {
        std::shared_ptr<http_exchange> exchange;
        instant until;
    };
    struct entry_session
    {
        frame_session_ptr session;
        entry_report report;
        feed_position position;
        /// Epoch of the directory of control hosts that was sent last; 0 if none was.
        std::uint64_t sent_status = 0;
    };
    /// A lease request that waits until all committed entries are applied on this leader.
    struct waiting_lease
    {
        frame_session_ptr session;
        lease_request request;
        instant until;
    };
    /// Session of an entry host whose lease request was passed on to the leader.
    struct lease_route
    {
        frame_session_ptr session;
        incarnation life;
        instant until;
    };
    /// Cache of the last encoded changes; many entry hosts lack the same ones.
    struct encoded_changes
    {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        /// Epoch of the list of entry hosts in it; 0 without one.
        std::uint64_t entries_epoch = 0;
        instant until;
        std::string bytes;
    };

    void tick(instant now);
    void note_leader(instant now);
    void install(raft_snapshot const& snapshot);
    void apply(raft_entry const& entry);
    replica_owner owner();
    void send_raft(raft_message const& message);
    void link_to(host_name const& host);

    void send_greetings(instant now);
    void on_greeting(control_greeting message);
    /// Reads this seed's part in the vote on the founding, or begins it.
    result<void> open_founding_vote();
    std::string founding_path() const;
    void on_founding_vote(founding_message const& message);
    /// Sends this seed's part in the vote again, and begins an attempt when it is due.
    void drive_founding(instant now);
    /// A control host with a log was heard lately, so that there is a group.
    bool hears_group(instant now) const;
    /// Precondition: this host is a seed that votes.
    bool may_propose_founding(instant now);
    /// Writes the changed vote to the disk, sends it, and founds the group once it is decided.
    void publish_founding_vote();
    void send_founding_vote();
    raft_snapshot founding_proposal(instant now) const;
    void found_group(std::string const& snapshot);
    void propose_membership_step(instant now);

    void on_http(http_request&& request, std::shared_ptr<http_exchange> exchange);
    void on_announce(announce_request&& order, std::shared_ptr<http_exchange> exchange);
    void on_configure(configure_request&& order, std::shared_ptr<http_exchange> exchange);
    void on_read(std::shared_ptr<http_exchange> exchange);
    void on_resolve(resolve_request const& order, http_exchange& exchange);
    /// Proposes the command; the exchange is answered once it is applied, or at `until`.
    void submit(register_command command, std::string subject,
                std::shared_ptr<http_exchange> exchange, instant until);
    void submit_order(register_command command, std::string subject,
                      std::shared_ptr<http_exchange> exchange, instant arrived_at);
    /// Notes in an order what this host knows of its subject.
    void stamp(register_command& order) const;
    void propose(std::string const& command);
    void send_proposal(std::string const& command);
    bool has_leader_contact(instant now) const;
    void complete_request(register_command const& command, register_outcome outcome);
    /// Proposes an order again that was outdated when it was applied; false if nobody waits for it.
    bool propose_again(register_command command);
    void expire_pending(instant now);
    void on_config_read(frame_session_ptr const& session, config_read message);
    bool may_answer_reads(instant now) const;
    void expire_upstreams(instant now);
    void flush_announced();
    /// Members of the group that have not greeted this host lately.
    std::size_t silent_members(instant now) const;
    std::string metrics() const;

    void on_entry_report(frame_session_ptr const& session, entry_report message);
    /// Grants a lease, lets the request wait until this host may, or passes it on to the leader.
    void on_lease_request(frame_session_ptr const& session, lease_request message);
    /// True on a leader that holds its lease and has applied every acknowledged change.
    bool holds_acknowledged(instant now) const;
    /// Precondition: `holds_acknowledged(now)`.
    void grant_lease(frame_session_ptr const& session, lease_request const& message, instant now);
    void grant_waiting_leases(instant now);
    void forward_lease_request(frame_session_ptr const& session, lease_request const& message,
                               instant now);
    /// Passes a leader's grant on to the entry host.
    void on_lease_grant(lease_grant const& message);
    /// On a leader: applies a change of the limits, and begins a new term.
    void update_quota_ledger(instant now);
    void add_lease_metrics(metric_sink const& line) const;
    /// Tells all entry hosts in session what has changed in the directory of control hosts.
    void update_directory(instant now);
    void send_status(entry_session& entry);
    void push_changes(instant now);
    void push_to(instant now, entry_session& entry);
    void note_changes(instant now);
    group_role role() const;
    std::string const& changes_for(std::uint64_t index, bool with_entries, instant now);
    fleet_changes changes_since(std::uint64_t index, bool with_entries, instant now) const;

    registry_settings settings_;
    registry_protocol const& protocol_;
    std::function<void()> on_failure_;
    host_name self_;
    event_loop event_loop_;
    ticker ticker_;
    std::unique_ptr<port> port_;
    std::unique_ptr<frame_server> server_;
    std::unique_ptr<storage_worker> storage_;
    std::unique_ptr<replica_driver> replica_;
    /// Owned by `replica_`.
    raft* raft_ = nullptr;
    fleet_register register_;
    membership_planner planner_;
    disk_id disk_;
    /// Encoded; empty before the founding, and after a restart from a later snapshot.
    std::string founding_snapshot_;
    /// Only on seeds that took part in the first start of the system.
    std::optional<founding_vote> founding_vote_;
    /// When the other seeds last sent their part in the vote.
    std::map<host_name, instant> founding_heard_;
    std::map<host_name, std::unique_ptr<frame_client>> links_;
    std::map<host_name, known_control> known_controls_;
    std::map<frame_session*, entry_session> entry_sessions_;
    view_feed feed_;
    control_directory directory_;
    encoded_changes encoded_;
    std::map<std::uint64_t, pending_request> pending_;
    std::map<std::uint64_t, pending_read> pending_reads_;
    /// As far as this host knows; a follower passes its part on to the leader.
    std::map<upstream_name, instant> last_announced_;
    std::vector<upstream_name> announced_since_flush_;
    quota_ledger quota_ledger_;
    /// What `quota_ledger_` was last configured with, and the term that it was begun for.
    log_index quota_access_changed_;
    log_term quota_term_;
    std::deque<waiting_lease> waiting_leases_;
    std::map<host_name, lease_route> lease_routes_;
    ticket_source tickets_;
    std::uint64_t last_read_ = 0;
    bool leaving_ = false;
    raft_role_state last_role_ = raft_role_state::follower;
    host_name last_leader_;
    instant next_greeting_;
    instant next_flush_;
    instant next_watch_;
    /// Since when enough seeds are there to found the group.
    instant founding_wait_since_;
    instant next_founding_;
    registry_counters counters_;
};

} // namespace guavashed
