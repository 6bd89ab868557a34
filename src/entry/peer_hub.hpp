/// \file
/// Defines peer_hub, the event loop of an entry host for sessions with control hosts and other
/// entry hosts.
#pragma once

#include "base/event_loop.hpp"
#include "base/ticker.hpp"
#include "daemon/settings.hpp"
#include "entry/claim_round.hpp"
#include "entry/entry_messages.hpp"
#include "transport/frame_link.hpp"

#include <map>
#include <memory>
#include <unordered_map>
#include <variant>

namespace guavashed
{

/// Command to forward a request; `request` holds the parts that the decision does not read.
struct hub_forward
{
    send_forward order;
    forward_request request;
};

/// Command to answer a request that another entry host forwarded to this one.
struct hub_outgoing_reply
{
    frame_session_ptr to;
    forward_reply reply;
};

/// Command to replace the row that this host reports to control.
struct hub_presence
{
    host_row row;
};

/// Rows of the entry hosts in view. The hub opens sessions with their peer endpoints before they
/// are needed and closes those with other hosts.
struct hub_peers
{
    std::vector<host_row> rows;
};

using hub_command = std::variant<start_claim, record_claim, hub_forward, cancel_forward,
                                 hub_outgoing_reply, hub_presence, hub_peers>;

/// Result of a claim round.
struct hub_claim_result
{
    request_id id;
    claim_verdict verdict = claim_verdict::unreachable;
    recorded_answer answer;
};

/// Result of a forwarded request: the other host's reply, or one made here when no session was open
/// or the session closed.
struct hub_forward_result
{
    forward_reply reply;
    /// False when the request was not sent.
    bool reached = true;
};

/// A request that another entry host forwarded to this one.
struct hub_incoming_forward
{
    forward_request request;
    frame_session_ptr from;
};

/// Cancellation of a request that another entry host forwarded to this one.
struct hub_incoming_cancel
{
    request_id id;
    frame_session_ptr from;
};

using hub_event = std::variant<hub_claim_result, hub_forward_result, hub_incoming_forward,
                               hub_incoming_cancel, configuration_push, view_push, load_push>;

struct hub_counters
{
    std::atomic<std::uint64_t> control_switches{0};
    std::atomic<std::uint64_t> bad_frames{0};
    std::atomic<std::uint64_t> events_dropped{0};
    std::atomic<std::uint64_t> control_bytes{0};
};

/// Runs sessions on its own event loop. Commands come from the decision event loop, and results and
/// received messages go back to it as events, each through a bounded ring.
///
/// Thread safety: `push` from the decision event loop only; frame callbacks run on the hub's own.
class peer_hub : public frame_handler
{
public:
    using on_event = std::function<void(hub_event&&)>;

    peer_hub(daemon_settings const& settings, event_loop& decision, on_event events);
    ~peer_hub() override;

    /// Opens the peer port and starts the sessions with the control hosts. Fails when the port
    /// cannot be opened.
    result<void> start();
    /// False when the ring is full: the command is not carried out.
    bool push(hub_command command);
    void stop();
    hub_counters const& counters() const { return counters_; }

    void on_open(frame_session_ptr const& session) override;
    void on_frame(frame_session_ptr const& session, frame&& item) override;
    void on_close(frame_session_ptr const& session) override;

private:
    /// A claim round that waits for votes.
    struct open_round
    {
        claim_round round;
        start_claim order;
    };

    void on_command(hub_command&& command);
    /// Sends an event to the decision event loop; counts it as dropped when the ring is full.
    void emit(hub_event event);
    void tick(instant now);
    /// Client for that entry host, or null.
    frame_client* find_client(host_name const& host);
    void claim(start_claim&& order);
    void finish_claim(attempt_id attempt, claim_verdict verdict);
    void on_claim_reply(frame_session_ptr const& session, claim_reply const& reply);
    void record(record_claim const& order);
    void forward(hub_forward&& order);
    /// Reports the outcome of all unanswered forwards to that host as unknown.
    void fail_forwards_to(host_name const& host);
    void sync_peer_sessions(hub_peers const& neighbours);
    /// Switches to the next control host when the current one has not confirmed in time.
    void choose_control(instant now);
    void send_presence();

    daemon_settings const& settings_;
    ring<hub_event> events_;
    event_loop thread_;
    ring<hub_command> commands_;
    ticker ticker_;
    std::unique_ptr<frame_server> server_;
    std::map<host_name, std::unique_ptr<frame_client>> control_clients_;
    std::map<host_name, std::unique_ptr<frame_client>> entry_clients_;
    std::unordered_map<attempt_id, open_round> rounds_;
    /// Unanswered forwards and the hosts that they went to.
    std::unordered_map<request_id, host_name> forwards_;
    /// Control hosts, most preferred first.
    std::vector<host_name> control_preference_;
    /// Position in `control_preference_` of the control host in use.
    std::size_t current_control_ = 0;
    /// Time by which the current control host must confirm the configuration.
    instant control_deadline_;
    std::optional<host_row> presence_;
    instant next_presence_;
    hub_counters counters_;
};

} // namespace guavashed
