/// \file
/// Defines entry_node, the entry role of the daemon: connects entry_core with the event loops that
/// do I/O.
#pragma once

#include "base/latency_meter.hpp"
#include "base/ticker.hpp"
#include "entry/entry_core.hpp"
#include "entry/entry_front.hpp"
#include "entry/peer_hub.hpp"
#include "entry/upstream_sender.hpp"
#include "transport/operator_port.hpp"

#include <memory>
#include <optional>

namespace guavashed
{

/// Thread safety: construct, `start`, `leave` and `stop` from the main thread; `submit` from the
/// operator event loop; all else runs on the node's own event loops.
class entry_node
{
public:
    explicit entry_node(daemon_settings const& settings);
    ~entry_node();

    result<void> start();
    /// Queues an operator request; false when the ring is full.
    bool submit(operator_request request);
    /// Graceful shutdown: drains this host. Look-up answers stop naming it, its upstreams move to
    /// other hosts and pending requests are finished. Blocks until `until` at most; true when
    /// nothing was left unfinished.
    bool leave(instant until);
    void stop();

private:
    /// The I/O state of a request until it is answered: the caller's exchange, or the session of
    /// the entry host that forwarded it.
    struct held_request
    {
        std::shared_ptr<http_exchange> exchange;
        frame_session_ptr origin;
        request_id origin_id;
        forward_request content;
        rank importance = rank::normal;
        instant arrived;
    };

    /// Input to a rebuild of the steering table on the steering event loop.
    struct table_input
    {
        configuration config;
        fleet_view view;
    };

    void on_front(front_event&& event);
    void on_call(front_call&& call);
    void on_hub(hub_event&& event);
    void on_forwarded_request(hub_incoming_forward&& item);
    void on_configuration(configuration_push&& push);
    void on_operator(operator_request&& item);
    void tick(instant now);
    void run_actions(instant now);
    void run(instant now, entry_action&& action);
    void send(instant now, send_upstream&& order);
    void forward(send_forward&& order);
    void answer(instant now, give_answer&& reply);
    void publish(instant now);
    void rebuild_table(instant now);
    host_row row_with_endpoints(instant now) const;
    http_response status(instant now) const;
    http_response explain(std::string const& subject) const;
    http_response burn() const;
    http_response metrics() const;

    daemon_settings settings_;
    std::optional<chart> upstream_rules_;
    std::unique_ptr<entry_core> core_;
    steering_table table_;
    latency_meter latency_;
    event_loop decision_;
    event_loop steering_;
    event_loop caller_;
    ticker ticker_;
    ring<front_event> front_ring_;
    ring<operator_request> operator_ring_;
    ring<table_input> table_ring_;
    std::unique_ptr<entry_front> front_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<upstream_sender> sender_;
    std::unique_ptr<peer_hub> hub_;
    std::unordered_map<request_id, held_request> held_;
    incarnation life_;
    bool configured_ = false;
    bool leaving_ = false;
    bool table_stale_ = false;
    instant next_table_;
    instant control_lease_until_;
    instant next_publish_;
    std::uint64_t seats_version_ = 0;
    /// The next local id for a request that another entry host forwarded here.
    std::uint64_t forwarded_ids_;
    std::atomic<std::uint64_t> blocks_moved_{0};
    std::atomic<bool> table_built_{false};
};

} // namespace guavashed
