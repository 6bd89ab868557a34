/// \file
/// Defines entry_core, the state machine that makes all decisions of an entry host.
///
/// It takes events and the current time and returns actions. It reads no clock, opens no socket and
/// starts no thread, so that long randomised tests can drive it and check its invariants.
#pragma once

#include "base/journal.hpp"
#include "entry/admission_queue.hpp"
#include "entry/choose_forward.hpp"
#include "entry/entry_messages.hpp"
#include "entry/fleet_view.hpp"
#include "entry/retry_budget.hpp"
#include "entry/share_meter.hpp"
#include "entry/ticket.hpp"
#include "entry/upstream_pool.hpp"
#include "reports/burn_ledger.hpp"

#include <deque>
#include <memory>
#include <random>
#include <unordered_map>

namespace guavashed
{

/// Order in which queued work is dispatched. The others than `ranked` exist for comparison.
enum class dispatch_policy
{
    /// By rank, with a guaranteed share for each rank (`service_config::floors`).
    ranked,
    /// By rank, without guaranteed shares.
    strict,
    /// First in, first out; no early refusal and no forwarding of a busy host's work.
    arrival
};

struct entry_settings
{
    host_name host;
    region_name region;
    failure_domain_name domain;
    incarnation life;
    dispatch_policy policy = dispatch_policy::ranked;
    permille retry_share{100};
    std::uint64_t seed = 1;
    admission_queue::limits queue;
};

struct entry_counters
{
    std::uint64_t requests = 0;
    std::uint64_t answers = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t forwards = 0;
    std::uint64_t claims = 0;
    std::uint64_t refused_late = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t silent_attempts = 0;
};

/// Thread safety: none; owned by the decision event loop.
class entry_core
{
public:
    /// Precondition: `upstream_rules` outlives the core.
    entry_core(entry_settings settings, chart const& upstream_rules);
    ~entry_core();

    /// A request has been received completely.
    void on_request(instant now, wall_instant wall, caller_request const& request);
    /// The outcome of the recorders' vote on a claim.
    void on_claim(instant now, request_id id, claim_verdict verdict, recorded_answer const& answer);
    /// An attempt has ended. Its slot is freed, after a delay if the attempt was cancelled.
    void on_attempt(instant now, attempt_id attempt, attempt_result result);
    /// A forwarded request has ended. Without an answer from the other host, `reply.outcome` states
    /// what is known. `reached`: the request left this host.
    void on_forward(instant now, forward_reply reply, bool reached);
    /// The caller has closed its connection.
    void on_abandoned(instant now, request_id id);
    /// An upstream registers or renews its lease. `redirected`: another entry host named this one
    /// as its home.
    announce_answer on_announce(instant now, upstream_announcement announcement, bool redirected);
    /// Applies a newer configuration and its seats. Precondition: its version is above the current
    /// one.
    void on_state(instant now, fleet_state const& state);
    /// Applies changed seats: the positions of the hosts in the division of each region's slot cap.
    void on_seats(instant now, std::vector<seat> const& seats);
    /// Whether the lease from control is valid; call regularly. A host without it for so long that
    /// its seat may have been reassigned stops using its share of the region's slots.
    void on_control_lease(instant now, bool connected);
    /// Applies a fleet view. True when hosts were added or removed or changed phase.
    bool on_view(view_push const& push);
    void on_loads(load_push const& push) { view_.apply(push); }
    /// Handles all that is due by `now`: expired requests, attempt timeouts, planned upstream moves
    /// and delayed slot releases. Call every few milliseconds to tens of milliseconds.
    void tick(instant now);
    /// Starts draining: upstreams are handed over to other hosts and no new ones are accepted.
    void start_leaving() { phase_ = host_phase::leaving; }
    void start_serving() { phase_ = host_phase::serving; }

    /// Returns the actions decided since the last call, in order.
    entry_actions take_actions();

    /// This host's state and load as published to the fleet; the endpoints are left empty.
    host_row row(instant now) const;
    /// Number of requests still tracked, attempts in flight and slots whose release is pending.
    std::size_t unfinished() const
    {
        return requests_.size() + attempts_.size() + pending_releases_.size();
    }
    entry_counters const& counters() const { return counters_; }
    configuration const& config() const { return state_.config; }
    fleet_view const& view() const { return view_; }
    journal const& notes() const { return journal_; }
    burn_ledger& burn() { return burn_; }
    std::vector<upstream_pool::row> upstream_rows() const;
    slot_share const& region_share() const { return region_share_; }

private:
    /// Upper limit on the sends and forwards of one request together.
    static constexpr std::uint32_t max_tries = 3;
    /// Work that could not be sent within this time of the decision is not sent.
    static constexpr milliseconds send_limit{250};

    enum class request_stage : std::uint8_t
    {
        claiming,
        queued,
        running,
        forwarded
    };

    /// The upstreams and the admission queue of one service.
    struct service_state
    {
        service_state(service_name service_id, chart const& rules, upstream_pool::on_change changed,
                      std::unique_ptr<dispatch_order> order, admission_queue::limits limits)
            : name(std::move(service_id)), pool(rules, std::move(changed)),
              queue(std::move(order), limits)
        {
        }
        service_name name;
        upstream_pool pool;
        admission_queue queue;
    };

    struct request_state
    {
        caller_request request;
        rank importance = rank::normal;
        bool idempotent = true;
        std::uint32_t objective_ms = 0;
        request_stage stage = request_stage::queued;
        std::size_t service_index = 0;
        instant arrived;
        instant dispatched;
        /// When an attempt without an answer is abandoned and retried.
        instant attempt_timeout_at;
        attempt_id attempt;
        /// The attempt id of the claim, 0 before a claim is made.
        attempt_id claim;
        std::vector<host_name> recorders;
        std::int64_t issued_ms = 0;
        std::int64_t expires_ms = 0;
        host_name forwarded_to;
        std::uint32_t tries = 0;
        bool answered = false;
        /// An attempt left this host and its outcome is unknown, so "not run" must not be answered.
        bool may_have_run = false;
    };

    struct attempt_state
    {
        request_id id;
        std::size_t service_index = 0;
        std::size_t position = 0;
        instant started;
        bool cancel_requested = false;
    };

    /// A slot of a cancelled attempt. It counts as used until `until`, because the upstream may
    /// still be working in it.
    struct pending_release
    {
        instant until;
        std::size_t service_index = 0;
        std::size_t position = 0;
        microseconds took{0};
    };

    /// An acceptance sent to an upstream; the lease that it grants runs from `sent`.
    struct sent_acceptance
    {
        std::uint64_t number = 0;
        instant sent;
    };

    using request_map = std::unordered_map<request_id, request_state>;

    std::unique_ptr<dispatch_order> make_order(service_config const& config) const;
    std::size_t service_index_of(service_name const& service);
    service_rate rate_of(service_state const& item, instant now) const;
    bool needs_claim(request_state const& state) const { return !state.idempotent; }
    /// Forwards or refuses non-idempotent work before a claim; true when it did either.
    bool forward_unclaimed(instant now, request_state& state);
    /// Starts a vote on the request's key; false when the request was answered instead.
    bool begin_claim(instant now, wall_instant wall, request_state& state);
    bool known_not_run(request_state const& state) const;
    /// Forwards an idempotent request when another host would run it sooner; else queues or
    /// refuses it.
    void queue_or_forward(instant now, request_state& state);
    /// Forwards the request when another host in view beats a wait of `local_wait` here.
    bool forward(instant now, request_state& state, microseconds local_wait);
    void update_shares();
    /// Sends queued work while slots are free, one piece per service in turn.
    void dispatch(instant now);
    bool dispatch_one(instant now, service_state& item, std::size_t position);
    void send(instant now, request_state& state, upstream_pick const& pick);
    /// Queues or forwards the request once more; false when it has no tries or the host has no
    /// retry budget left.
    bool retry(instant now, request_state& state);
    void refuse(instant now, request_state& state, burn_cause cause, std::string reason);
    void answer(instant now, request_state& state, give_answer reply);
    void erase(request_id id);
    void record(request_state const& state, claim_step step, recorded_answer answer);
    void free_slot(instant now, pending_release const& slot, work_ending ending);
    void on_answered(instant now, request_state& state, attempt_result& result);
    void expire_waiting(instant now, service_state& item);
    /// Answers requests whose deadline passed while running or forwarded, and retries idempotent
    /// ones whose attempt has timed out.
    void check_attempts(instant now);
    /// End of the lease granted by the acceptance that `announcement` quotes; `now` when there is
    /// none.
    instant lease_end(instant now, upstream_announcement const& announcement) const;
    /// Records an acceptance sent at `now` and returns its number.
    std::uint64_t accept(instant now, upstream_name const& name);
    /// Chooses the upstreams to hand over at their next renewal: all when leaving, else at most one
    /// per service to even out the slots between hosts.
    void plan_upstream_moves(instant now);
    /// True when the configuration lists the upstream as leaving.
    bool is_leaving(upstream_name const& name) const;
    host_row const* next_home(upstream_name const& name, service_name const& service) const;
    /// Adds an entry to the decision journal that operators query with explain.
    void note(std::string subject, std::string decision, std::string inputs);

    entry_settings settings_;
    chart const& rules_;
    fleet_state state_;
    fleet_view view_;
    std::vector<std::unique_ptr<service_state>> services_;
    request_map requests_;
    std::unordered_map<attempt_id, attempt_state> attempts_;
    std::unordered_map<host_name, std::uint32_t> outstanding_;
    std::unordered_map<region_name, byte_share> link_shares_;
    std::unordered_map<upstream_name, host_name> planned_moves_;
    std::unordered_map<upstream_name, std::deque<sent_acceptance>> acceptances_;
    std::deque<pending_release> pending_releases_;
    slot_share region_share_;
    retry_budget retries_;
    journal journal_;
    burn_ledger burn_;
    entry_counters counters_;
    entry_actions actions_;
    std::mt19937_64 random_;
    std::uint64_t next_attempt_ = 1;
    std::size_t round_robin_start_ = 0;
    instant next_move_plan_;
    instant next_attempt_check_;
    wall_instant wall_;
    host_phase phase_ = host_phase::starting;
    bool connected_ = false;
    /// When this host stops using its seat unless control renews the lease before.
    instant seat_valid_until_;
};

} // namespace guavashed
