/// \file
/// Defines gateway_node, an entry host: it accepts callers' requests and forwards them to
/// upstreams.
#pragma once

#include "access/access_lease.hpp"
#include "access/access_table.hpp"
#include "access/credit_account.hpp"
#include "access/held_queue.hpp"
#include "access/quota_ledger.hpp"
#include "base/metric_sink.hpp"
#include "base/ticker.hpp"
#include "fleet/call_protocol.hpp"
#include "fleet/control_selection.hpp"
#include "fleet/drain_schedule.hpp"
#include "fleet/source_choice.hpp"
#include "fleet/view_messages.hpp"
#include "routing/attempt_policy.hpp"
#include "routing/link_budget.hpp"
#include "routing/retry_hint.hpp"
#include "routing/retry_token_bucket.hpp"
#include "routing/route_table.hpp"
#include "routing/upstream_selector.hpp"
#include "transport/frame_link.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace guavashed
{

struct gateway_settings
{
    host_name name;
    endpoint_text caller_listen;
    /// Serves readiness checks and metrics.
    endpoint_text readiness_listen;
    region_name region;
    failure_domain_name domain;
    std::map<failure_domain_name, region_name> regions;
    /// Peer endpoints of some control hosts; the others are learned from these.
    std::vector<endpoint_text> seeds;
    /// The fleet's retry budget per service: a ratio of first attempts, and a constant extra.
    double retry_ratio = 0.2;
    double retry_extra = 0;
    /// Maximum fraction of this region's requests that may change the region in which they run
    /// from one window of 2 s to the next, unless upstreams fail.
    double max_region_shift = 0.15;
    /// Bounds connections, and with them buffers.
    std::size_t max_connections = 2048;
    /// Bytes that bodies of requests may hold, as many unfinished answers of upstreams, and as many
    /// the answers that callers have not taken yet.
    std::size_t max_buffered_bytes = 64 * 1024 * 1024;
    /// Capacity of the host's network link, each way; 0 for no known bound.
    double link_bytes_per_s = 0;
    key_lease_settings key_lease;
    /// Limits of workspaces are in force where the window is above 0.
    quota_settings quota;
};

struct gateway_counters
{
    std::uint64_t requests = 0;
    std::uint64_t relayed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t attempts = 0;
    std::uint64_t second_attempts = 0;
    std::uint64_t bad_frames = 0;
    /// Attempts that count as not run, by `not_run_basis`.
    std::array<std::uint64_t, 3> not_run{};
    /// Requests without a known key on routes that need one.
    std::uint64_t unauthorized = 0;
    /// Refusals because the lease of the keys had ended.
    std::uint64_t without_lease = 0;
    /// Refusals beyond the limit of a workspace.
    std::uint64_t over_limit = 0;
    /// Requests that waited for credit, and those of them that got no decision in time.
    std::uint64_t held = 0;
    std::uint64_t hold_timeouts = 0;
    /// Credit of requests that were refused without having run.
    std::uint64_t credit_refunds = 0;
    /// Requests that were unanswered at the end of a planned stop.
    std::uint64_t cut_short_by_stop = 0;
    /// Refusals of upstreams that don't prove that the request was not run.
    std::uint64_t doubted_refusals = 0;
};

/// Runs on its own event loop. Thread safety: construct, `start`, `leave` and `stop` from the main
/// thread; all else on the event loop.
class gateway_node : public http_handler, public frame_handler
{
public:
    /// Precondition: `protocol` outlives this.
    gateway_node(gateway_settings settings, call_protocol const& protocol);
    ~gateway_node() override;

    result<void> start();
    /// Drains: serves requests in flight, and for a while new ones that an upstream can answer in
    /// time, answers the rest itself, then closes the caller port. Call once.
    void leave(drain_schedule const& schedule);
    void stop();
    /// Replaces the peer endpoints with those of reloaded settings. Thread safe.
    void set_seeds(std::vector<endpoint_text> seeds);

    void on_request(http_request request, std::shared_ptr<http_exchange> exchange) override;
    /// True for requests of idempotent routes: one that its caller counts as unread and sends again
    /// may have run.
    bool may_overlap(http_request const& request) const override;
    void on_open(frame_session_ptr const& session) override;
    void on_frame(frame_session_ptr const& session, frame&& item) override;
    void on_close(frame_session_ptr const& session) override;

private:
    /// One caller's request, from its arrival to its answer.
    struct call
    {
        http_request request;
        std::shared_ptr<http_exchange> exchange;
        request_metadata facts;
        /// Keeps `route` valid while a newer configuration replaces the table.
        std::shared_ptr<route_table> table;
        route_config const* route = nullptr;
        /// Keeps `workspace` valid while a newer access configuration replaces the table; null
        /// before the first one.
        std::shared_ptr<access_table const> access;
        /// The workspace of the caller's key; null on routes that need none.
        workspace_config const* workspace = nullptr;
        /// Of the workspace where it has one, otherwise of the route.
        std::uint32_t priority = 0;
        /// Credit of the workspace was taken for the request, and not returned.
        bool has_credit = false;
        /// Regions whose upstreams may serve the request; empty for all.
        std::vector<region_name> regions;
        service_name service;
        instant arrived;
        instant deadline;
        std::set<upstream_name> tried;
        /// Attempts of which a byte was sent.
        std::uint32_t attempts = 0;
        std::uint32_t connect_failures = 0;
        /// An upstream may have run the request.
        bool may_have_run = false;
        pick chosen;
        instant sent_at;
        http_call_id running = 0;
        bool finished = false;
    };
    using call_ptr = std::shared_ptr<call>;
    struct control_link
    {
        std::unique_ptr<frame_client> link;
        /// When it connects first; `instant()` once it has begun to.
        instant connect_due;
        /// Null while no session is open.
        frame_session* session = nullptr;
        /// As received in the open session.
        std::optional<control_status> status;
        /// When a source without a leader is left for this control host.
        instant preferred_from;
        /// When it became the source last.
        instant source_since;
        /// As last reported to that control host.
        std::uint64_t reported_view = 0;
        bool reported_ready = false;
        bool reported_source = false;
        instant reported_at;
    };
    class readiness;

    void tick(instant now);
    /// Connects to the control host at `connect_due`. Precondition: it has no link yet.
    void add_link(endpoint_text const& control, instant connect_due);
    void connect_due_links(instant now);
    /// Connects to control hosts that sessions have told of, and drops those that are gone.
    void update_control_links(instant now);
    void on_control_status(frame_session const& session, control_status status);
    /// Reports changes of this host to control hosts: new views to the source and changes of
    /// readiness to all at once, new views to the others a little later.
    void report_when_due(instant now);
    void report_to(endpoint_text const& endpoint, control_link& control, instant now);
    void select_source(instant now);
    /// Whether a control host that follows a leader is the source, and has delivered a view.
    bool is_served(instant now) const;
    void switch_source(endpoint_text const& control, instant until, std::string const& reason);
    /// Makes that control host the source, since it delivered a change before the source did.
    void note_newer_view(frame_session const& session, instant now);
    std::size_t open_sessions() const;
    /// Whether its session is open and has received something lately.
    static bool is_heard(control_link const& control, instant now);
    /// Detects that the process was paused. True while its view of upstreams may still be as old
    /// as before the pause.
    bool detect_pause(instant now);
    void on_changes(fleet_changes changes, frame_session const& session);
    /// Limits for callers' connections that follow from the host's settings.
    http_server_limits memory_limits() const;
    void adopt_config(routing_config config);
    void adopt_access(access_config config);
    bool is_leaving() const { return drain_.end_by != instant::max(); }
    bool is_ready() const
    {
        return table_ != nullptr && !is_leaving() && first_lease_by_ == instant();
    }
    /// Runs `action` on the event loop and returns its result. Not on the event loop itself.
    template <class Action>
    auto on_event_loop(Action action);
    /// Ends the attempts of all unanswered requests, which get an answer of this host's own.
    /// Returns their number.
    std::size_t cut_short();

    void route_call(call_ptr const& item);
    /// Checks the lease of the keys, the key and the workspace's credit, in this order. False if
    /// the request was answered. Precondition: the route is set.
    bool authorize(call_ptr const& item);
    bool limits_in_force() const;
    lease_need need_of_lease(instant now) const;
    /// Lets a host that has just started become ready once its keys are usable.
    void end_first_wait(instant now);
    /// Sends the lease request that is due, refuses requests that were held too long, and sets the
    /// timer for the next time that one of these is due.
    void drive_lease(instant now);
    /// False when no session with a control host is open.
    bool send_lease_request(instant now);
    void on_lease_grant(lease_grant const& grant);
    /// Takes credit for the request where its workspace has a limit; holds it while this host does
    /// not know whether there is any. True if it may go on now, false if it was answered or held.
    bool take_credit(call_ptr const& item, instant now);
    /// Answers the request if its workspace is over its limit.
    credit_verdict decide_credit(call_ptr const& item, instant now, bool was_held);
    void hold_for_credit(call_ptr const& item, instant now);
    void refuse_without_credit(call_ptr const& item, std::string const& reason, instant now);
    /// Returns the credit of a request that did not run.
    void return_credit(call& item);
    /// Answers the requests that wait for credit when this host stops.
    void refuse_held();
    /// Decides all held requests again; those without credit ask for it once more.
    void decide_held(instant now);
    void add_lease_metrics(metric_sink const& line) const;
    /// Sets the workspace of the request's key and what follows from it. False if the request was
    /// answered.
    bool identify(call_ptr const& item);
    /// What the upstream is told of the request's caller.
    static caller_identity identity_of(call const& item);
    /// What log lines of the request say of its workspace; empty if it has none.
    static std::string workspace_text(call const& item);
    /// Sends the request, which passed all checks of its caller, as far as the link allows.
    void dispatch(call_ptr const& item);
    void attempt(call_ptr const& item);
    void on_attempt_end(call_ptr const& item, http_outcome&& outcome);
    static attempt_end describe(call const& item, http_outcome const& outcome,
                                response_metadata const& facts);
    void report_attempt(call_ptr const& item, http_outcome const& outcome, attempt_end const& end,
                        response_metadata const& facts, attempt_verdict verdict, instant now);
    /// Logs and counts what a verdict of "not run" rests on, or a refusal that proves nothing.
    void note_refusal(call const& item, http_outcome const& outcome, attempt_end const& end,
                      response_metadata const& facts, instant now);
    bool may_retry(call const& item, attempt_verdict verdict, bool unsent, instant now);
    void on_abandoned(call_ptr const& item);
    /// When the caller itself gives up, apart from the route's timeout.
    static instant caller_deadline(call const& item);
    /// Ends a call without an upstream's answer: refuses it if no attempt may have run, in which
    /// case `expected_ms` is as in `refusal_facts`.
    void answer_failure(call_ptr const& item, bool timed_out, std::string const& reason,
                        double expected_ms);
    void answer(call_ptr const& item, http_response response, char const* outcome,
                std::string const& reason);
    /// `expected_ms` is as in `refusal_facts`.
    void refuse(call_ptr const& item, std::string const& reason, double expected_ms);
    /// Predicted time until the first configuration arrives.
    double expected_start_ms(instant now) const;
    retry_token_bucket& allowance_of(service_name const& service);
    /// Divides the fleet's retry budget by the number of known entry hosts.
    void divide_retry_budget();
    std::string metrics() const;

    gateway_settings settings_;
    call_protocol const& protocol_;
    event_loop event_loop_;
    ticker ticker_;
    http_client client_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<readiness> readiness_;
    std::map<endpoint_text, control_link> control_links_;
    upstream_selector board_;
    link_budget link_budget_;
    std::shared_ptr<route_table> table_;
    /// Null while no access configuration was received: callers need no key.
    std::shared_ptr<access_table const> access_;
    /// While a host that has just started waits for its first lease: how long it stays not ready
    /// for it, as public routes need none. `instant()` otherwise.
    instant first_lease_by_;
    access_lease lease_;
    credit_account credit_;
    boost::asio::steady_timer lease_timer_;
    /// Requests that wait for credit, each for a part of its latency objective.
    held_queue<call_ptr> held_{256};
    /// When requests that wait for credit are asked for again.
    instant ask_again_at_;
    std::uint64_t view_index_ = 0;
    /// Control host from which this host receives its view; empty while there is none.
    endpoint_text source_;
    /// Earliest replacement of the source by a nearer one; while the view is empty, the time at
    /// which another source is tried.
    instant source_until_;
    std::map<service_name, retry_token_bucket> allowances_;
    /// Most retries that this host saves up for one service.
    double retry_burst_ = 1;
    /// Requests that are not answered yet.
    std::set<call_ptr> calls_;
    /// Spreads the returns of refused callers.
    std::minstd_rand random_{std::random_device{}()};
    instant const started_ = instant::clock::now();
    /// All in the far future while no stop is requested.
    drain_schedule drain_;
    /// The stop has reached `answer_by`; no attempt is repeated.
    bool is_cutting_short_ = false;
    /// Time of the last tick; a long gap means that the process was paused.
    instant last_tick_ = instant::clock::now();
    /// No requests are sent to upstreams until then, after a pause: sessions with control hosts
    /// are reopened meanwhile.
    instant view_unverified_until_;
    /// Upper bounds of the latency histogram's buckets.
    static constexpr std::array<std::uint32_t, 10> bucket_ms{5,   10,  25,   50,   100,
                                                             250, 500, 1000, 2500, 5000};
    std::array<std::uint64_t, bucket_ms.size() + 1> latencies_{};
    double latency_sum_ms_ = 0;
    gateway_counters counters_;
};

} // namespace guavashed
