/// \file
/// Defines peer_hub, an entry host's duty for sessions with control hosts and other entry hosts.
#pragma once

#include "base/duty.hpp"
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

/// A request to send on, with the parts that the decisions do not read.
struct hub_forward
{
    send_forward order;
    forward_request request;
};

/// The answer to a request that another entry host sent here.
struct hub_reply
{
    frame_session_ptr to;
    forward_reply reply;
};

struct hub_presence
{
    host_row row;
};

/// Peer endpoints of entry hosts in view, so that sessions with them are open before they are
/// needed.
struct hub_neighbours
{
    std::vector<host_row> rows;
};

using hub_command = std::variant<start_claim, record_claim, hub_forward, cancel_forward, hub_reply,
                                 hub_presence, hub_neighbours>;

struct hub_claim
{
    request_id id;
    claim_verdict verdict = claim_verdict::unreachable;
    recorded_answer answer;
};

struct hub_forwarded
{
    forward_reply reply;
    /// False when the request did not leave this host.
    bool reached = true;
};

/// Another entry host asks this one to run something.
struct hub_request
{
    forward_request request;
    frame_session_ptr from;
};

struct hub_cancel
{
    request_id id;
    frame_session_ptr from;
};

using hub_event = std::variant<hub_claim, hub_forwarded, hub_request, hub_cancel,
                               configuration_push, view_push, load_push>;

struct hub_counters
{
    std::atomic<std::uint64_t> control_switches{0};
    std::atomic<std::uint64_t> bad_frames{0};
    std::atomic<std::uint64_t> events_dropped{0};
    std::atomic<std::uint64_t> control_bytes{0};
};

/// Thread safety: `push` from the decision duty only; frame callbacks on its own duty.
class peer_hub : public frame_handler
{
public:
    using on_event = std::function<void(hub_event&&)>;

    peer_hub(daemon_settings const& settings, duty& decision, on_event events);
    ~peer_hub() override;

    /// Opens the peer port and the sessions.
    result<void> start();
    bool push(hub_command command);
    void stop();
    hub_counters const& counters() const { return counters_; }

    void on_open(frame_session_ptr const& session) override;
    void on_frame(frame_session_ptr const& session, frame&& item) override;
    void on_close(frame_session_ptr const& session) override;

private:
    struct open_round
    {
        claim_round round;
        start_claim order;
    };

    void on_command(hub_command&& command);
    void emit(hub_event event);
    void tick(instant now);
    frame_client* find_client(host_name const& host);
    void claim(start_claim&& order);
    void finish_claim(attempt_id attempt, claim_verdict verdict);
    void on_claim_reply(frame_session_ptr const& session, claim_reply const& reply);
    void record(record_claim const& order);
    void forward(hub_forward&& order);
    void fail_forwards_to(host_name const& host);
    void sync_peer_sessions(hub_neighbours const& neighbours);
    void choose_control(instant now);
    void send_presence();

    daemon_settings const& settings_;
    ring<hub_event> events_;
    duty thread_;
    ring<hub_command> commands_;
    ticker ticker_;
    std::unique_ptr<frame_server> server_;
    std::map<host_name, std::unique_ptr<frame_client>> control_clients_;
    std::map<host_name, std::unique_ptr<frame_client>> entry_clients_;
    std::unordered_map<attempt_id, open_round> rounds_;
    std::unordered_map<request_id, host_name> forwards_;
    std::vector<host_name> control_preference_;
    std::size_t current_control_ = 0;
    instant control_deadline_;
    std::optional<host_row> presence_;
    instant next_presence_;
    hub_counters counters_;
};

} // namespace guavashed
