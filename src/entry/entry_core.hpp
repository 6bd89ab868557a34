/// \file
/// Defines entry_core, all decisions of an entry host: messages and `now` in, actions out.
///
/// It reads no clock, opens no socket and starts no thread, so that long randomised runs can drive
/// it and assert its invariants.
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

/// How work is ordered, for comparison with the baseline.
enum class dispatch_policy
{
    ranked,
    strict,
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

/// Thread safety: none; the decision duty owns it.
class entry_core
{
public:
    /// Precondition: `upstream_rules` outlives the core.
    entry_core(entry_settings settings, chart const& upstream_rules);
    ~entry_core();

    /// A request has arrived whole.
    void on_request(instant now, wall_instant wall, caller_request const& request);
    /// The recorders' verdict on a claim.
    void on_claim(instant now, request_id id, claim_verdict verdict, recorded_answer const& answer);
    /// An attempt has ended; its slot is free again.
    void on_attempt(instant now, attempt_id attempt, attempt_result result);
    /// The other host's answer; without one, `reply.outcome` says what is known.
    void on_forward(instant now, forward_reply reply, bool reached);
    /// The caller has closed its connection.
    void on_abandoned(instant now, request_id id);
    /// An upstream announces itself or renews. `redirected`: another entry host sent it here.
    announce_answer on_announce(instant now, upstream_announcement said, bool redirected);
    /// A newer state is in force. Precondition: its version is above the one held.
    void on_state(instant now, fleet_state const& state);
    /// This host's seats have changed.
    void on_seats(instant now, std::vector<seat> const& seats);
    /// Control answers (true) or has been silent past the lease (false).
    /// A host that was cut off for so long that its seat may be another's uses no share any more.
    void on_control_lease(instant now, bool connected);
    /// True when hosts came, went or changed phase.
    bool on_view(view_push const& push);
    void on_loads(load_push const& push) { view_.apply(push); }
    /// Moves deadlines; call every few milliseconds to tens of milliseconds.
    void tick(instant now);
    /// Hands upstreams over and takes no new ones: the host is leaving.
    void start_leaving() { phase_ = host_phase::leaving; }
    void start_serving() { phase_ = host_phase::serving; }

    /// Actions decided since the last call.
    entry_actions take_actions();

    /// This host's row for the fleet.
    host_row row(instant now) const;
    /// Requests that are not answered yet, and attempts that still hold a slot.
    std::size_t unfinished() const
    {
        return requests_.size() + attempts_.size() + settling_.size();
    }
    entry_counters const& counters() const { return counters_; }
    configuration const& config() const { return state_.config; }
    fleet_view const& view() const { return view_; }
    journal const& notes() const { return journal_; }
    burn_ledger& burn() { return burn_; }
    std::vector<upstream_pool::row> upstream_rows() const;
    slot_share const& region_share() const { return region_share_; }

private:
    /// Times that one request is sent or forwarded at the most.
    static constexpr std::uint32_t max_tries = 3;
    /// Work is sent within this time of its decision, or not at all.
    static constexpr milliseconds send_limit{250};

    enum class request_stage : std::uint8_t
    {
        claiming,
        queued,
        running,
        forwarded
    };

    struct desk
    {
        desk(service_name service_id, chart const& rules, upstream_pool::on_change changed,
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
        std::size_t desk = 0;
        instant arrived;
        instant dispatched;
        /// When a silent attempt is given up for another upstream.
        instant patience_until;
        attempt_id attempt;
        attempt_id claim;
        std::vector<host_name> recorders;
        std::int64_t issued_ms = 0;
        std::int64_t expires_ms = 0;
        host_name forwarded_to;
        std::uint32_t tries = 0;
        bool answered = false;
        /// An attempt left this host and its end is not known: "not run" would be false.
        bool may_have_run = false;
    };

    struct attempt_state
    {
        request_id id;
        std::size_t desk = 0;
        std::size_t position = 0;
        instant started;
        bool given_up = false;
    };

    /// A slot whose work was cancelled and that the upstream may not have freed yet.
    struct settling_slot
    {
        instant until;
        std::size_t desk = 0;
        std::size_t position = 0;
        microseconds took{0};
    };

    /// An acceptance that was sent to an upstream; the lease that it gives runs from then.
    struct sent_acceptance
    {
        std::uint64_t number = 0;
        instant sent;
    };

    using request_map = std::unordered_map<request_id, request_state>;

    std::unique_ptr<dispatch_order> make_order(service_config const& config) const;
    std::size_t desk_of(service_name const& service);
    service_rate rate_of(desk const& item, instant now) const;
    bool needs_claim(request_state const& state) const { return !state.idempotent; }
    bool forward_unclaimed(instant now, request_state& state);
    bool begin_claim(instant now, wall_instant wall, request_state& state);
    bool surely_not_run(request_state const& state) const;
    void place(instant now, request_state& state);
    bool forward(instant now, request_state& state, microseconds local_wait);
    void divide_caps();
    void dispatch(instant now);
    bool dispatch_one(instant now, desk& item, std::size_t position);
    void send(instant now, request_state& state, upstream_pick const& pick);
    bool retry(instant now, request_state& state);
    void refuse(instant now, request_state& state, burn_cause cause, std::string reason);
    void answer(instant now, request_state& state, give_answer reply);
    void erase(request_id id);
    void record(request_state const& state, claim_step step, recorded_answer answer);
    void free_slot(instant now, settling_slot const& slot, work_ending ending);
    void on_answered(instant now, request_state& state, attempt_result& result);
    void expire_waiting(instant now, desk& item);
    void watch_attempts(instant now);
    /// End of the lease that the quoted acceptance gives; `now` when it gives none.
    instant lease_of(instant now, upstream_announcement const& said) const;
    std::uint64_t accept(instant now, upstream_name const& name);
    void spread_upstreams(instant now);
    bool leaves(upstream_name const& name) const;
    host_row const* next_home(upstream_name const& name, service_name const& service) const;
    void note(std::string subject, std::string decision, std::string inputs);

    entry_settings settings_;
    chart const& rules_;
    fleet_state state_;
    fleet_view view_;
    std::vector<std::unique_ptr<desk>> desks_;
    request_map requests_;
    std::unordered_map<attempt_id, attempt_state> attempts_;
    std::unordered_map<host_name, std::uint32_t> outstanding_;
    std::unordered_map<region_name, byte_share> links_;
    std::unordered_map<upstream_name, host_name> moves_;
    std::unordered_map<upstream_name, std::deque<sent_acceptance>> acceptances_;
    std::deque<settling_slot> settling_;
    slot_share region_share_;
    retry_budget retries_;
    journal journal_;
    burn_ledger burn_;
    entry_counters counters_;
    entry_actions actions_;
    std::mt19937_64 random_;
    std::uint64_t next_attempt_ = 1;
    std::size_t rotation_ = 0;
    instant next_spread_;
    instant next_watch_;
    wall_instant wall_;
    host_phase phase_ = host_phase::starting;
    bool connected_ = false;
    /// When this host's seat may be given to another, unless control answers before.
    instant seat_until_;
};

} // namespace guavashed
