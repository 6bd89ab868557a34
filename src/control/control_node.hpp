/// \file
/// Defines control_node, the control role: it replicates the configuration, tracks which entry
/// hosts are present and records claims on idempotency keys.
#pragma once

#include "base/ticker.hpp"
#include "control/control_messages.hpp"
#include "control/control_state.hpp"
#include "control/presence_table.hpp"
#include "control/recorder.hpp"
#include "control/replica_driver.hpp"
#include "control/shift_controller.hpp"
#include "daemon/settings.hpp"
#include "transport/frame_link.hpp"
#include "transport/operator_port.hpp"

#include <map>
#include <memory>

namespace guavashed
{

/// A group member that the leader has not heard from for this long counts as unresponsive.
inline constexpr std::chrono::seconds member_unresponsive_after{1};

/// Counters since process start, reported as metrics.
struct control_counters
{
    std::uint64_t raft_messages = 0;
    std::uint64_t bad_frames = 0;
    std::uint64_t pushes = 0;
    std::uint64_t leaders_seen = 0;
    std::uint64_t storage_failures = 0;
};

/// Runs on an event loop of its own and leaves disk writes to a storage worker. Thread safety: call
/// the constructor, `start`, `leave` and `stop` from the main thread and everything else on the
/// event loop, except where a function states otherwise.
class control_node : public frame_handler
{
public:
    explicit control_node(daemon_settings const& settings);
    ~control_node() override;

    /// Opens the data folder, restores the state, listens on the peer port and starts the
    /// periodic work.
    result<void> start();
    /// Queues an operator request; false when the queue is full. Thread safety: call only from the
    /// operator port's event loop.
    bool submit(operator_request request);
    /// Transfers leadership before a planned stop. Blocks until this host is not the leader, at
    /// most until `until`.
    void leave(instant until);
    void stop();
    /// The event loop of the peer port, for a host that has both roles.
    event_loop& peer_event_loop() { return event_loop_; }

    void on_open(frame_session_ptr const& session) override;
    void on_frame(frame_session_ptr const& session, frame&& item) override;
    void on_close(frame_session_ptr const& session) override;

private:
    /// The session of an entry host that is connected to this control host.
    struct entry_session
    {
        frame_session_ptr session;
        host_name host;
        config_version sent_version;
        config_version acknowledged_version;
        /// Change counters of the presence table up to which rows and loads have been sent.
        std::uint64_t view_sent = 0;
        std::uint64_t loads_sent = 0;
        region_name region;
        instant next_push;
        instant next_loads;
    };

    /// Another control host: the connection to it and its last join message.
    struct peer_state
    {
        std::unique_ptr<frame_client> link;
        join_message last_join;
        bool join_received = false;
    };

    /// A confirmation that was proposed and whose operator waits for it to be applied.
    struct pending_confirm
    {
        operation_id operation;
        std::shared_ptr<http_exchange> exchange;
        instant until;
    };

    void tick(instant now);
    void observe_leader(instant now);
    void install(raft_snapshot const& snapshot);
    void apply(raft_entry const& entry);
    replica_owner owner();
    void on_storage(storage_done&& done);
    void send_raft(raft_message const& message);
    void send_join();
    void on_join(join_message message);
    void found_group_when_ready();
    void update_membership(instant now);
    void on_presence(frame_session_ptr const& session, std::string const& payload);
    void on_peer_presence(std::string const& payload);
    void share_presence();
    void push_to(instant now, entry_session& entry);
    void push_view(instant now, entry_session& entry);
    std::vector<seat> seats_of(host_name const& host) const;
    void push_changed_state(instant now);
    void assign_seats(instant now);
    std::optional<std::uint32_t> find_free_seat(instant now, region_config const& region,
                                                std::vector<seat> const& seats) const;
    void propose_shift_step(instant now);
    void record_in_force(instant now);
    std::optional<region_load> load_of(region_name const& region) const;
    bool propose(control_command const& command);

    void on_operator(operator_request&& item);
    void answer_plan(operator_request& item);
    void answer_confirm(operator_request& item);
    void answer_configuration(operator_request& item);
    http_response status(instant now) const;
    http_response history() const;
    http_response metrics() const;
    http_response not_leader() const;
    http_response confirm_response(control_answer const& answer) const;

    daemon_settings settings_;
    event_loop event_loop_;
    ticker ticker_;
    std::unique_ptr<frame_server> server_;
    std::unique_ptr<storage_worker> storage_;
    std::unique_ptr<replica_driver> replica_;
    /// The consensus core inside `replica_`.
    raft* raft_ = nullptr;
    std::unique_ptr<recorder> recorder_;
    ring<operator_request> operator_ring_;
    control_state state_;
    presence_table presence_;
    shift_controller shifts_;
    disk_id disk_;
    wall_instant disk_first_used_;
    std::map<host_name, peer_state> peers_;
    std::map<frame_session*, entry_session> entries_;
    std::vector<pending_confirm> pending_confirms_;
    raft_role_state last_role_ = raft_role_state::follower;
    host_name last_leader_;
    config_version pushed_version_;
    instant next_join_;
    instant next_presence_;
    instant next_housekeeping_;
    instant leader_since_;
    /// A version that this host applied, and when every present entry host had it in force.
    struct accepted_version
    {
        config_version version;
        instant accepted_at;
        std::optional<instant> in_force;
    };
    std::vector<accepted_version> accepted_versions_;
    control_counters counters_;
};

} // namespace guavashed
