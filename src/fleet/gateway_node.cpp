// Start and stop of an entry host, its fleet view, its part of the retry budget, and its metrics.
#include "fleet/gateway_node.hpp"

#include "base/codec.hpp"
#include "base/invariant.hpp"
#include "base/log.hpp"
#include "fleet/gateway_readiness.hpp"

#include <algorithm>
#include <random>

namespace guavashed
{
namespace
{

constexpr milliseconds tick_interval{100};
/// A process paused for longer may have missed changes that were acknowledged meanwhile.
constexpr milliseconds max_pause{1000};
/// Sessions are reopened within this time after a pause, if control hosts are reachable at all.
constexpr milliseconds resync_window{1500};
/// A grant takes one or two round trips between regions where a leader answers.
constexpr milliseconds max_first_wait{1000};
/// Fractions of the fleet's retry budget that hosts use: tokens kept by hosts may be spent in one
/// window with those earned in it, and hosts that have just joined are not counted yet.
constexpr double ratio_fraction = 0.9;
constexpr double extra_fraction = 0.5;

} // namespace

gateway_node::gateway_node(gateway_settings settings, call_protocol const& protocol)
    : settings_(std::move(settings)), protocol_(protocol), event_loop_("entry"),
      ticker_(event_loop_, tick_interval, [this](instant now) { tick(now); }),
      client_(event_loop_, settings_.max_buffered_bytes),
      board_({.self = settings_.name,
              .region = settings_.region,
              .domain = settings_.domain,
              .regions = settings_.regions,
              .max_region_shift = settings_.max_region_shift},
             std::random_device{}()),
      link_budget_(settings_.link_bytes_per_s),
      lease_(settings_.key_lease, settings_.name,
             incarnation(static_cast<std::uint64_t>(wall_ms(std::chrono::system_clock::now())))),
      lease_timer_(event_loop_.context())
{
}

gateway_node::~gateway_node()
{
    stop();
}

http_server_limits gateway_node::memory_limits() const
{
    http_server_limits out;
    out.max_connections = settings_.max_connections;
    out.max_buffered_bytes = settings_.max_buffered_bytes;
    out.max_held_bytes = settings_.max_buffered_bytes;
    return out;
}

result<void> gateway_node::start()
{
    caller_server_ = std::make_unique<http_server>(event_loop_, *this, memory_limits());
    BOOST_OUTCOME_TRY(caller_server_->listen(settings_.caller_listen));
    readiness_ = std::make_unique<readiness>(
        event_loop_, [this] { return is_ready(); }, [this] { return metrics(); });
    BOOST_OUTCOME_TRY(readiness_->listen(settings_.readiness_listen));
    boost::asio::post(event_loop_.context(),
                      [this]
                      {
                          update_control_links(instant::clock::now());
                          ticker_.start();
                      });
    log_change(log_level::info, "entry_started",
               "callers=" + settings_.caller_listen.value() +
                   " domain=" + settings_.domain.value());
    return boost::outcome_v2::success();
}

void gateway_node::set_seeds(std::vector<endpoint_text> seeds)
{
    boost::asio::post(event_loop_.context(),
                      [this, seeds = std::move(seeds)]() mutable
                      {
                          settings_.seeds = std::move(seeds);
                          update_control_links(instant::clock::now());
                      });
}

bool gateway_node::detect_pause(instant now)
{
    if (now > last_tick_ + max_pause)
    {
        log_change(log_level::warning, "stood_still",
                   "for_ms=" + std::to_string(remaining_ms(now, last_tick_)));
        view_unverified_until_ = now + resync_window;
    }
    last_tick_ = std::max(last_tick_, now);
    return now < view_unverified_until_;
}

void gateway_node::tick(instant now)
{
    detect_pause(now);
    connect_due_links(now);
    select_source(now);
    report_when_due(now);
    drive_lease(now);
}

void gateway_node::on_frame(frame_session_ptr const& session, frame&& item)
{
    if (item.type == frame_type::fleet_changes)
        if (auto message = decode<fleet_changes>(item.payload, session->peer()))
            return on_changes(std::move(message).value(), *session);
    if (item.type == frame_type::control_status)
        if (auto message = decode<control_status>(item.payload, session->peer()))
            return on_control_status(*session, std::move(message).value());
    if (item.type == frame_type::lease_grant)
        if (auto message = decode<lease_grant>(item.payload, session->peer()))
            return on_lease_grant(message.value());
    if (item.type == frame_type::greeting)
        return;
    ++counters_.bad_frames;
    log_change(log_level::warning, "bad_frame", "peer=" + session->peer());
    session->close();
}

void gateway_node::on_changes(fleet_changes changes, frame_session const& session)
{
    // A delayed push must not move the view back, and one that starts later would leave a gap.
    if (changes.to < view_index_ || changes.from > view_index_)
        return;
    bool const was_ready = is_ready();
    bool const newer = changes.to > view_index_;
    if (newer)
        note_newer_view(session, instant::clock::now());
    board_.apply(changes, instant::clock::now());
    if (!changes.controls.empty())
        on_control_status(session, {true, std::move(changes.controls), {}});
    if (changes.access)
        adopt_access(std::move(*changes.access));
    if (changes.config)
        adopt_config(std::move(*changes.config));
    view_index_ = changes.to;
    lease_.note_view(view_index_);
    drive_lease(instant::clock::now());
    divide_retry_budget();
    if (newer)
        log_change(
            log_level::info, "view",
            "index=" + std::to_string(view_index_) + " from=" + session.peer() +
                " version=" + (table_ ? std::to_string(table_->config().version.value()) : "none") +
                " upstreams=" + std::to_string(board_.upstreams()) +
                " entries=" + std::to_string(board_.entry_hosts()) +
                " evacuated=" + std::to_string(changes.evacuated.size()));
    if (newer || was_ready != is_ready())
        report_when_due(instant::clock::now());
}

void gateway_node::adopt_config(routing_config config)
{
    if (table_ && config.version <= table_->config().version)
        return;
    http_server_limits limits = memory_limits();
    limits.max_header_bytes = config.limits.max_header_bytes;
    limits.max_body_bytes = config.limits.max_body_bytes;
    // Callers may use up the limits that they know, which may be those of a newer configuration.
    limits.header_timeout = milliseconds(config.limits.header_timeout_ms) * 3 / 2;
    limits.idle_timeout = milliseconds(config.limits.idle_timeout_ms) * 3 / 2;
    caller_server_->set_limits(limits);
    if (!table_ && settings_.key_lease.strict)
        first_lease_by_ = instant::clock::now() + max_first_wait;
    board_.configure(config);
    table_ = std::make_shared<route_table>(std::move(config));
}

retry_token_bucket& gateway_node::allowance_of(service_name const& service)
{
    auto const [at, first] = allowances_.try_emplace(service);
    if (first)
        at->second.set(settings_.retry_ratio * ratio_fraction, retry_burst_);
    return at->second;
}

void gateway_node::divide_retry_budget()
{
    double const hosts = std::max<double>(1, static_cast<double>(board_.entry_hosts()));
    retry_burst_ = std::max(1.0, settings_.retry_extra * extra_fraction / hosts);
    for (auto& [service, allowance] : allowances_)
        allowance.set(settings_.retry_ratio * ratio_fraction, retry_burst_);
}

void gateway_node::stop()
{
    event_loop_.stop();
}

std::string gateway_node::metrics() const
{
    std::string out;
    auto const line = [&out](std::string const& name, std::uint64_t value)
    { out += "guavashed_entry_" + name + " " + std::to_string(value) + "\n"; };
    line("requests_total", counters_.requests);
    line("relayed_total", counters_.relayed);
    line("refused_total", counters_.refused);
    line("failed_total", counters_.failed);
    line("timed_out_total", counters_.timed_out);
    line("abandoned_total", counters_.abandoned);
    line("unauthorized_total", counters_.unauthorized);
    line("access_workspaces", access_ ? access_->workspaces() : 0);
    line("access_keys", access_ ? access_->keys() : 0);
    line("attempts_total", counters_.attempts);
    line("second_attempts_total", counters_.second_attempts);
    line("connections_opened_total", client_.connections_opened());
    line("upstreams_leaving_total", board_.leaving_stated());
    line("upstream_pauses_total", board_.pauses_stated());
    line("bad_frames_total", counters_.bad_frames);
    for (auto const basis :
         {not_run_basis::unsent, not_run_basis::misdirected, not_run_basis::stated})
        line(std::string("not_run_") + to_string(basis) + "_total",
             counters_.not_run[static_cast<std::size_t>(basis)]);
    line("cut_short_by_stop_total", counters_.cut_short_by_stop);
    line("refusals_doubted_total", counters_.doubted_refusals);
    auto const& http = caller_server_->counters();
    line("http_accepted_total", http.accepted);
    line("http_rejected_total", http.bad_requests);
    line("http_refused_connections_total", http.refused_connections);
    line("http_refused_for_memory_total", http.refused_for_memory);
    line("held_for_callers_bytes", http.held_bytes);
    line("callers_given_up_for_memory_total", http.given_up_for_memory);
    line("callers_given_up_without_progress_total", http.given_up_without_progress);
    line("unfinished_answers_bytes", client_.buffered_bytes());
    line("upstreams_given_up_for_memory_total", client_.given_up_for_memory());
    line("http_handler_failures_total", http.handler_failures);
    line("http_open_connections", http.open);
    line("in_flight", calls_.size());
    line("control_sessions", open_sessions());
    line("view_index", view_index_);
    add_lease_metrics(line);
    line("config_version", table_ ? table_->config().version.value() : 0);
    std::uint64_t below = 0;
    for (std::size_t at = 0; at < bucket_ms.size(); ++at)
    {
        below += latencies_[at];
        line("latency_ms_bucket{le=\"" + std::to_string(bucket_ms[at]) + "\"}", below);
    }
    line("latency_ms_bucket{le=\"+Inf\"}", below + latencies_.back());
    line("latency_ms_count", below + latencies_.back());
    line("latency_ms_sum", static_cast<std::uint64_t>(latency_sum_ms_));
    return out;
}

} // namespace guavashed
