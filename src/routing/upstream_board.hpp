/// \file
/// Defines upstream_board, what an entry host believes of each upstream, and whom it picks.
#pragma once

#include "base/instant.hpp"
#include "fleet/view_messages.hpp"
#include "routing/attempt_policy.hpp"
#include "routing/placement.hpp"
#include "routing/route_config.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavashed
{

struct board_settings
{
    host_name self;
    region_name region;
    failure_domain_name domain;
    std::map<failure_domain_name, region_name> regions;
    /// Most of a region's requests that load may move to another region.
    double max_spill_ratio = 0.08;
};

/// Load that an upstream reports with an answer.
struct upstream_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// What a request asks of the board.
struct pick_request
{
    route_config const& route;
    service_name const& service;
    /// Object that the request concerns; empty when it concerns none.
    std::string_view object;
    std::set<upstream_name> const& tried;
    instant deadline;
};

/// The upstream picked, and the figures that decided.
struct pick
{
    upstream_name id;
    endpoint_text address;
    double predicted_ms = 0;
    double wait_ms = 0;
    /// 0 for the object's home, 1 for the next one, 2 for any other.
    int place = 2;
    bool other_region = false;
};

enum class no_pick
{
    /// No upstream may take the request now.
    none_usable,
    /// Each would answer after the deadline.
    too_late
};

/// How one attempt ended.
struct attempt_report
{
    attempt_result result = attempt_result::answered;
    double took_ms = 0;
    std::optional<upstream_load> load;
    /// Time that a new connection took to establish.
    std::optional<double> connect_ms;
    std::optional<std::uint32_t> cold_left_ms;
};

/// Thread safety: none; the entry duty owns it.
class upstream_board
{
public:
    upstream_board(board_settings settings, std::uint64_t seed);
    // The index by service points into this object's own states.
    upstream_board(upstream_board const&) = delete;
    upstream_board(upstream_board&&) = default;

    /// Brings the view up to date. Precondition: `changes.from` is at most the view's index.
    void apply(fleet_changes const& changes, instant now);
    void configure(routing_config const& config);

    /// Picks an upstream; counts it as one more in flight there.
    std::optional<pick> choose(pick_request const& request, instant now, no_pick& why_not);
    /// Precondition: `choose` picked it, and each pick is reported once.
    void report(pick const& chosen, std::string const& route, attempt_report const& outcome,
                instant now);

    std::size_t entry_hosts() const { return entry_hashes_.size(); }
    std::size_t upstreams() const { return upstreams_.size(); }

private:
    struct upstream_state
    {
        upstream_row row;
        region_name region;
        std::uint32_t in_flight = 0;
        /// Work of other hosts there, as last reported.
        double other_hosts_load = 0;
        instant other_hosts_load_at;
        /// Its service time over that of its service's upstreams.
        double slowness = 1;
        double failure_rate = 0;
        instant rates_at;
        std::uint32_t failures_in_row = 0;
        instant ejected_until;
        instant cold_until;
        instant next_cold_send;
        /// Another one answers at its address.
        bool replaced = false;

        /// Weight of `other_hosts_load` now, by its age.
        double load_weight(instant now) const;
        /// Weight of `slowness` and `failure_rate` now, by their age.
        double rates_weight(instant now) const;
    };
    struct service_time
    {
        double home_ms = 0;
        double other_ms = 0;
    };
    struct candidate
    {
        upstream_state* state = nullptr;
        double score = 0;
        int place = 2;
        double wait_ms = 0;
        /// When the answer would come.
        double answer_ms = 0;
        /// That, and what a likely failure would cost.
        double cost_ms = 0;
    };

    bool usable(upstream_state const& state, pick_request const& request, instant now,
                bool ejected_too) const;
    bool may_send_while_cold(upstream_state const& state) const;
    double warmup_spacing_ms(upstream_state const& state) const;
    std::vector<candidate> candidates(pick_request const& request, instant now);
    void rank(std::vector<candidate>& found, std::uint64_t object,
              std::vector<region_share> const& shares) const;
    bool in_time(candidate const& item, pick_request const& request, instant now) const;
    void predict(candidate& item, pick_request const& request, instant now);
    double occupancy(upstream_state const& state, instant now) const;
    double round_trip_ms(upstream_state const& state) const;
    service_time& service_time_of(route_config const& route);
    std::vector<region_share> const& region_shares_of(service_name const& service);
    void learn_time(upstream_state& state, pick const& chosen, std::string const& route,
                    double took_ms, instant now);
    void eject(upstream_state& state, instant now);

    board_settings settings_;
    std::mt19937_64 random_;
    std::map<upstream_name, upstream_state> upstreams_;
    /// The same, by service.
    std::unordered_map<service_name, std::vector<upstream_state*>> by_service_;
    std::set<failure_domain_name> evacuated_;
    /// Hashes of the names of entry hosts.
    std::vector<std::uint64_t> entry_hashes_;
    std::unordered_map<service_name, routed_service> services_;
    std::unordered_map<std::string, service_time> service_times_;
    std::unordered_map<service_name, std::vector<region_share>> region_shares_;
    /// Requests of each service that may still be moved to another region.
    std::unordered_map<service_name, double> spill_tokens_;
    std::map<failure_domain_name, double> connect_ms_;
};

} // namespace guavashed
