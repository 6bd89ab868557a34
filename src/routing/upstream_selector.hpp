/// \file
/// Defines upstream_selector, the load balancer of an entry host: it keeps the estimated state of
/// each upstream and picks one for each attempt.
#pragma once

#include "base/instant.hpp"
#include "fleet/view_messages.hpp"
#include "routing/attempt_policy.hpp"
#include "routing/gradual_shares.hpp"
#include "routing/placement.hpp"
#include "routing/route_config.hpp"
#include "routing/upstream_statements.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavashed
{

struct selector_settings
{
    /// This entry host and its location.
    host_name self;
    region_name region;
    failure_domain_name domain;
    /// Region of each failure domain.
    std::map<failure_domain_name, region_name> regions;
    /// Maximum fraction of a region's requests that may go to another region because of load.
    double max_spill_ratio = 0.08;
    /// Maximum fraction of a region's requests that may change the region in which they run from
    /// one window of 2 s to the next, unless upstreams fail.
    double max_region_shift = 0.15;
};

/// Load that an upstream reports with a response.
struct upstream_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes on the upstream's host at the moment, relative to its usual time; a
    /// host is shared with others.
    double pace = 1;
};

/// One attempt that needs an upstream.
struct pick_request
{
    route_config const& route;
    service_name const& service;
    /// Affinity key of the request; empty if it has none.
    std::string_view object;
    /// Upstreams that earlier attempts of this request were sent to.
    std::set<upstream_name> const& tried;
    instant deadline;
    /// When this host stops waiting for answers, whatever the deadline.
    instant host_stops_at = instant::max();
    /// Regions whose upstreams may serve the request, where these aren't those of the route; empty
    /// for all.
    std::vector<region_name> const* regions = nullptr;

    std::vector<region_name> const& allowed_regions() const
    {
        return regions != nullptr ? *regions : route.regions;
    }
};

/// The upstream picked, and the estimates behind the decision.
struct pick
{
    upstream_name id;
    /// Identifies the incarnation together with `id`.
    std::int64_t born_ms = 0;
    endpoint_text address;
    /// Predicted latency, including the expected cost of a failure.
    double predicted_ms = 0;
    /// Part of it that the request waits in the upstream's queue.
    double wait_ms = 0;
    /// Affinity rank: 0 for the object's home, 1 for the second choice, 2 for any other.
    int place = 2;
    bool other_region = false;
};

/// Why no upstream was picked.
enum class pick_failure
{
    /// No upstream is eligible for the request now.
    none_usable,
    /// The best one would answer too late: after the deadline, or after too long a wait.
    too_late
};

/// Why no upstream was picked, and for how long that is expected to hold.
struct pick_refusal
{
    pick_failure why = pick_failure::none_usable;
    /// Predicted time until a request like this one finds an upstream; 0 if not known.
    double expected_ms = 0;
};

/// Outcome of an attempt, and what was measured or reported with it.
struct attempt_report
{
    attempt_result result = attempt_result::answered;
    double took_ms = 0;
    std::optional<upstream_load> load;
    /// Time that a new connection took to establish.
    std::optional<double> connect_ms;
    /// Time until the upstream's warm-up ends, as it reported.
    std::optional<std::uint32_t> cold_left_ms;
    /// Unix time of the answer in milliseconds, on this host's clock; 0 if there is none.
    std::int64_t answered_ms = 0;
    /// The upstream said that it leaves.
    bool is_leaving = false;
    /// With a refusal: how long the upstream wants no requests from this host, in milliseconds.
    std::optional<std::uint32_t> pause_ms;
};

/// Load balancer over the upstreams of all services. It combines affinity (weighted rendezvous
/// hashing), predicted latency, slow start and ejection. Thread safety: none; owned by the entry's
/// event loop.
class upstream_selector
{
public:
    upstream_selector(selector_settings settings, std::uint64_t seed);
    // Not copyable: the index by service points into this object's map of upstreams.
    upstream_selector(upstream_selector const&) = delete;
    upstream_selector(upstream_selector&&) = default;

    /// Applies changes of the fleet view. Precondition: `changes.from` is at most the view's index.
    void apply(fleet_changes const& changes, instant now);
    /// Replaces the settings of the services.
    void configure(routing_config const& config);

    /// Picks the upstream for an attempt and counts the request as in flight there. Sets `refusal`
    /// if none is returned.
    std::optional<pick> choose(pick_request const& request, instant now, pick_refusal& refusal);
    /// Updates the upstream's state with the outcome of an attempt. Precondition: `chosen` was
    /// returned by `choose`, and each pick is reported once.
    void report(pick const& chosen, std::string const& route, attempt_report const& outcome,
                instant now);

    std::size_t entry_hosts() const { return entry_hashes_.size(); }
    std::size_t upstreams() const { return upstreams_.size(); }
    /// Statements that upstreams have made since the start.
    std::uint64_t leaving_stated() const { return leaving_stated_; }
    std::uint64_t pauses_stated() const { return pauses_stated_; }

private:
    struct upstream_state
    {
        upstream_row row;
        region_name region;
        std::uint32_t in_flight = 0;
        /// Requests of other entry hosts there, derived from its last load report.
        double other_hosts_load = 0;
        instant other_hosts_load_at;
        /// As in `upstream_load`, reported at `other_hosts_load_at`.
        double pace = 1;
        /// Ratio of its service time to the usual one of its service.
        double slowness = 1;
        double failure_rate = 0;
        /// When `slowness` and `failure_rate` were last updated.
        instant rates_at;
        std::uint32_t failures_in_row = 0;
        instant ejected_until;
        instant cold_until;
        /// Earliest time of the next request from this host while it is cold.
        instant next_cold_send;
        /// A different upstream answers at its address.
        bool replaced = false;
        /// What it has said of itself in its answers.
        upstream_statement stated;
        /// It has not answered since its last pause: it gets one request of this host at a time.
        bool resuming = false;

        /// It gets no new requests for good.
        bool is_leaving() const { return row.draining || stated.is_leaving; }
        /// Objects may have it as their home, also while it is ineligible.
        bool may_be_home() const { return !is_leaving() && !replaced; }

        /// Weight of `other_hosts_load` at `now`, decayed by its age.
        double load_weight(instant now) const;
        /// Expected ratio of its host's work time to its usual one: the last report, decayed by
        /// its age.
        double expected_pace(instant now) const;
        /// Weight of `slowness` and `failure_rate` at `now`, decayed by their age.
        double rates_weight(instant now) const;
    };
    /// Moving averages of a route's service time.
    struct service_time
    {
        /// At the object's home, and at any other upstream.
        double home_ms = 0;
        double other_ms = 0;
    };
    struct candidate
    {
        upstream_state* state = nullptr;
        int place = 2;
        double wait_ms = 0;
        /// Predicted latency of the answer.
        double answer_ms = 0;
        /// The same, plus the expected cost of a failure.
        double cost_ms = 0;
    };

    /// Whether the upstream is eligible; ejected ones only if `ejected_too`.
    bool usable(upstream_state const& state, pick_request const& request, instant now,
                bool ejected_too) const;
    /// Whether this host is one of those that may send to the upstream while it is cold.
    bool may_send_while_cold(upstream_state const& state) const;
    /// Earliest time of the next request of this host to the upstream while it is cold.
    instant cold_send_from(upstream_state const& state) const;
    /// Least time between two requests of this host to a cold upstream.
    double warmup_spacing_ms(upstream_state const& state) const;
    /// Eligible upstreams; ejected ones only if there are no others.
    std::vector<candidate> candidates(pick_request const& request, instant now);
    /// Sets the affinity ranks of a request without an object key: the highest scores of the
    /// candidates in a region that is drawn by the shares.
    void rank(std::vector<candidate>& found, std::uint64_t object,
              std::vector<region_share> const& shares) const;
    /// Sets the affinity ranks of a request for an object by the scores of all upstreams that may
    /// be its home, whether they are eligible at the moment or not, and erases the candidates that
    /// are not to be used. An upstream's weight is its part of its region's share, so that a change
    /// of slots or shares moves little more objects than it must.
    void rank_homes(std::vector<candidate>& found, service_name const& service,
                    std::uint64_t object, std::vector<region_share> const& shares) const;
    /// By how much the predicted answer is too late to send the request; not positive if it is
    /// early enough.
    double lateness_ms(candidate const& item, pick_request const& request, instant now) const;
    /// Time until one of the service's cold or pausing upstreams takes a request of this host; 0 if
    /// there is none.
    double next_usable_ms(pick_request const& request, instant now) const;
    /// Sets the predicted wait, latency and cost.
    void predict(candidate& item, pick_request const& request, instant now);
    /// Estimated number of requests at the upstream, of all entry hosts.
    double occupancy(upstream_state const& state, instant now) const;
    /// Estimated round trip to the upstream.
    double round_trip_ms(upstream_state const& state) const;
    service_time& service_time_of(route_config const& route);
    /// The listed regions that exist, sorted; empty if these are all, so that lists which mean the
    /// same share their state.
    std::vector<region_name> known_regions_of(std::vector<region_name> const& allowed) const;
    /// Shares of the regions in this region's requests of the service that only `allowed` regions
    /// may serve, or all if there are none listed.
    gradual_shares& region_shares_of(service_name const& service,
                                     std::vector<region_name> const& listed, instant now);
    /// Shares that follow from the view, without regard to former ones.
    std::vector<region_share> target_shares(service_name const& service,
                                            std::vector<region_name> const& allowed) const;
    /// Sets the targets of all shares by the view.
    void update_region_shares(instant now);
    /// Notes the removal of an upstream, which is a failure unless it was leaving or evacuated.
    void note_failed(upstream_state const& state);
    void learn_time(upstream_state& state, pick const& chosen, std::string const& route,
                    double took_ms, instant now);
    void eject(upstream_state& state, instant now);
    /// Keeps what the upstream said of itself; `state` is null if the view no longer holds the
    /// incarnation.
    void learn_statements(pick const& chosen, attempt_report const& outcome, upstream_state* state,
                          instant now);

    selector_settings settings_;
    /// Regions of the deployment.
    std::set<region_name> regions_;
    std::mt19937_64 random_;
    /// Before this, the list of entry hosts may lack many that start at the same time.
    instant warms_from_;
    std::map<upstream_name, upstream_state> upstreams_;
    /// Pointers into `upstreams_`, by service.
    std::unordered_map<service_name, std::vector<upstream_state*>> by_service_;
    /// Pointers into `upstreams_`, by service and region, without those in evacuated domains.
    std::unordered_map<service_name, std::map<region_name, std::vector<upstream_state*>>> homes_;
    std::set<failure_domain_name> evacuated_;
    /// Hashes of the names of all entry hosts.
    std::vector<std::uint64_t> entry_hashes_;
    std::unordered_map<service_name, routed_service> services_;
    /// Service times by route.
    std::unordered_map<std::string, service_time> service_times_;
    /// By service and allowed regions.
    std::map<std::pair<service_name, std::vector<region_name>>, gradual_shares> region_shares_;
    /// Regions in which upstreams of a service failed since its shares were last updated.
    std::unordered_map<service_name, std::set<region_name>> failed_;
    /// Token bucket of each service for requests that load moves to another region.
    std::unordered_map<service_name, double> spill_tokens_;
    /// Moving average of the time to establish a connection, which takes one round trip.
    std::map<failure_domain_name, double> connect_ms_;
    upstream_statements statements_;
    std::uint64_t leaving_stated_ = 0;
    std::uint64_t pauses_stated_ = 0;
};

} // namespace guavashed
