// Handles the requests of upstreams, operators and look-ups on a control host.
#include "base/codec.hpp"
#include "base/log.hpp"
#include "fleet/registry_answers.hpp"
#include "fleet/registry_node.hpp"
#include "routing/entry_choice.hpp"
#include "transport/operator_port.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr milliseconds flush_interval{500};
/// Tolerates a few lost heartbeats of the leader beyond the lease that it passes on.
constexpr milliseconds contact_slack{800};
/// Missed announcements after which an upstream is removed, and the tolerance for late ones.
constexpr int missed_announcements = 4;
constexpr milliseconds announcement_slack{2000};
/// Most entry hosts that callers read from one answer.
constexpr std::size_t max_entries = 64;

} // namespace

void registry_node::on_http(http_request&& request, std::shared_ptr<http_exchange> exchange)
{
    instant const arrived_at = request.arrived_at;
    auto order = protocol_.read(request);
    if (!order)
    {
        ++counters_.refused;
        unsigned const status = order.error().code == error_code::unknown_place ? 404 : 400;
        log_change(log_level::warning, "order_refused",
                   "target=" + request.target + " reason=\"" + to_string(order.error()) + "\"");
        return exchange->respond(error_response(status, order.error()));
    }
    if (auto* announce = std::get_if<announce_request>(&order.value()))
        return on_announce(std::move(*announce), std::move(exchange));
    if (auto const* resolve = std::get_if<resolve_request>(&order.value()))
        return on_resolve(*resolve, *exchange);
    if (auto* configure = std::get_if<configure_request>(&order.value()))
        return on_configure(std::move(*configure), std::move(exchange));
    if (std::holds_alternative<read_config_request>(order.value()))
        return on_read(std::move(exchange));
    if (std::holds_alternative<metrics_request>(order.value()))
        return exchange->respond({200, {{"Content-Type", "text/plain"}}, metrics()});
    register_command command;
    std::string subject;
    if (auto const* leave = std::get_if<leave_request>(&order.value()))
    {
        command.kind = register_command_kind::leave;
        command.upstream.id = leave->id;
        subject = "upstream=" + leave->id.value();
    }
    else
    {
        auto const& evacuate = std::get<evacuate_request>(order.value());
        command.kind =
            evacuate.restore ? register_command_kind::restore : register_command_kind::evacuate;
        command.domain = evacuate.domain;
        subject = "domain=" + evacuate.domain.value();
    }
    ++counters_.orders;
    submit_order(std::move(command), std::move(subject), std::move(exchange), arrived_at);
}

void registry_node::on_announce(announce_request&& order, std::shared_ptr<http_exchange> exchange)
{
    ++counters_.announcements;
    instant const now = instant::clock::now();
    if (!has_leader_contact(now))
    {
        ++counters_.unavailable;
        return exchange->respond(unavailable("no recent contact with a leader"));
    }
    if (auto const problem = register_.contradiction(order.row))
    {
        ++counters_.refused;
        error const reason =
            fail(error_code::invalid_document, "read announcement", order.row.id.value(), *problem);
        log_change(log_level::warning, "announcement_refused", to_string(reason));
        return exchange->respond(error_response(400, reason));
    }
    last_announced_[order.row.id] = now;
    announced_since_flush_.push_back(order.row.id);
    if (register_.reflects(order.row, order.cold_left_ms, now))
        return exchange->respond(acknowledged());
    register_command command;
    command.kind = register_command_kind::announce;
    command.upstream = std::move(order.row);
    command.sequence = order.sequence;
    command.cold_left_ms = order.cold_left_ms;
    std::string subject = "upstream=" + command.upstream.id.value() +
                          " address=" + command.upstream.address.value() +
                          " draining=" + (command.upstream.draining ? "1" : "0") +
                          " cold_left_ms=" + std::to_string(command.cold_left_ms);
    submit(std::move(command), std::move(subject), std::move(exchange), now + answer_limit);
}

void registry_node::on_configure(configure_request&& order, std::shared_ptr<http_exchange> exchange)
{
    ++counters_.orders;
    if (register_.outcome_of(order.request_hash))
        return exchange->respond(acknowledged());
    std::string const subject = "base=" + std::to_string(order.base.value());
    auto const refuse = [&](unsigned status, error const& reason)
    {
        ++counters_.refused;
        log_change(log_level::warning, "configuration_refused",
                   subject + " status=" + std::to_string(status) + " reason=\"" +
                       to_string(reason) + "\"");
        exchange->respond(error_response(status, reason));
    };
    // Versions only increase: a base below the version applied here is below the one in force.
    if (order.base < register_.version())
        return refuse(412, fail(error_code::conflict, "configure", "",
                                "configuration version " +
                                    std::to_string(register_.version().value()) + " is in force"));
    if (order.is_patch && order.base > register_.version())
        return exchange->respond(unavailable("base version " + std::to_string(order.base.value()) +
                                             " not applied on this host yet: at version " +
                                             std::to_string(register_.version().value())));
    auto decoded = order.is_patch ? protocol_.merge(register_.document(), order.document)
                                  : protocol_.decode(order.document);
    if (!decoded)
        return refuse(400, decoded.error());
    register_command command;
    command.kind = register_command_kind::configure;
    command.request_hash = order.request_hash;
    command.base = order.base;
    command.config = std::move(decoded.value().config);
    command.access = std::move(decoded.value().access);
    command.document = std::move(decoded.value().document);
    submit(std::move(command), subject, std::move(exchange), instant::clock::now() + answer_limit);
}

bool registry_node::has_leader_contact(instant now) const
{
    return raft_->is_leader() ? raft_->lease_holds(now)
                              : now < raft_->fresh_until() + contact_slack;
}

bool registry_node::may_answer_reads(instant now) const
{
    return holds_acknowledged(now) && !register_.document().empty();
}

void registry_node::on_read(std::shared_ptr<http_exchange> exchange)
{
    instant const now = instant::clock::now();
    if (may_answer_reads(now))
        return exchange->respond(json_response(200, register_.document()));
    auto const link = links_.find(raft_->leader());
    config_read request;
    request.number = ++last_read_;
    bool const passed =
        link != links_.end() && link->second->send(frame_type::config_read, encode(request));
    if (!passed)
    {
        ++counters_.unavailable;
        return exchange->respond(unavailable(
            "this host may lack the newest configuration, and has no session with a leader"));
    }
    pending_reads_[request.number] = {std::move(exchange), now + answer_limit};
}

void registry_node::on_config_read(frame_session_ptr const& session, config_read message)
{
    if (!message.answered)
    {
        if (!may_answer_reads(instant::clock::now()))
            return;
        message.answered = true;
        message.document = register_.document();
        session->send(frame_type::config_read, encode(message));
        return;
    }
    auto const waiting = pending_reads_.find(message.number);
    if (waiting == pending_reads_.end())
        return;
    waiting->second.exchange->respond(json_response(200, std::move(message.document)));
    pending_reads_.erase(waiting);
}

void registry_node::on_resolve(resolve_request const& order, http_exchange& exchange)
{
    ++counters_.lookups;
    std::vector<entry_candidate> places;
    for (auto const& [session, entry] : entry_sessions_)
        if (entry.report.ready)
            places.push_back(
                {entry.report.caller_endpoint, entry.report.region, entry.report.domain});
    auto const chosen = choose_entries(order.region, order.domain, places, max_entries);
    if (chosen.empty())
    {
        ++counters_.unavailable;
        return exchange.respond(
            unavailable("no ready entry host has a session with this control host"));
    }
    auto const keep = static_cast<std::uint32_t>(settings_.lookup_cache_time.count());
    exchange.respond(protocol_.entries(chosen, keep));
}

void registry_node::expire_upstreams(instant now)
{
    auto const unresponsive_after =
        settings_.announce_interval * missed_announcements + announcement_slack;
    for (auto const& [id, held] : register_.upstreams())
    {
        auto const [at, first] = last_announced_.try_emplace(id, now);
        if (first || at->second + unresponsive_after > now)
            continue;
        register_command command;
        command.kind = register_command_kind::forget;
        command.ticket = tickets_.next();
        command.upstream = held.row;
        log_change(log_level::warning, "upstream_silent", "upstream=" + id.value());
        propose(encode(command));
        at->second = now;
        return;
    }
    std::erase_if(last_announced_,
                  [&](auto const& item) {
                      return !register_.upstreams().contains(item.first) &&
                             item.second + unresponsive_after < now;
                  });
}

void registry_node::flush_announced()
{
    next_flush_ = instant::clock::now() + flush_interval;
    if (raft_->is_leader() || announced_since_flush_.empty())
        return announced_since_flush_.clear();
    auto const link = links_.find(raft_->leader());
    if (link != links_.end())
        link->second->send(frame_type::announced_upstreams,
                           encode(announced_upstreams{announced_since_flush_}));
    announced_since_flush_.clear();
}

std::string registry_node::metrics() const
{
    std::string out;
    auto const line = [&out](std::string const& name, std::uint64_t value)
    { out += "guavashed_control_" + name + " " + std::to_string(value) + "\n"; };
    line("announcements_total", counters_.announcements);
    line("orders_total", counters_.orders);
    line("orders_refused_total", counters_.refused);
    line("orders_unavailable_total", counters_.unavailable);
    line("lookups_total", counters_.lookups);
    line("view_pushes_total", counters_.pushes);
    line("view_pushed_bytes_total", counters_.pushed_bytes);
    line("leaders_seen_total", counters_.leaders_seen);
    line("bad_frames_total", counters_.bad_frames);
    add_lease_metrics(line);
    line("leads", raft_->is_leader() ? 1 : 0);
    line("members", raft_->membership().members.size());
    line("voters", raft_->membership().voters());
    line("silent_members", silent_members(instant::clock::now()));
    line("applied_index", replica_->applied().value());
    line("config_version", register_.version().value());
    line("upstreams", register_.upstreams().size());
    line("entry_sessions", entry_sessions_.size());
    return out;
}

} // namespace guavashed
