// Proposes orders and answers them: a request waits here until its command is applied on this host,
// its caller leaves, or its time is up.
#include "base/codec.hpp"
#include "base/log.hpp"
#include "fleet/registry_answers.hpp"
#include "fleet/registry_node.hpp"

namespace guavashed
{
namespace
{

/// Longest encoded command. A command fits into one frame, and so does a snapshot with the
/// configuration that it brings.
constexpr std::size_t max_command_bytes = 4 * 1024 * 1024;

char const* text_of(register_command_kind kind)
{
    switch (kind)
    {
    case register_command_kind::configure:
        return "configure";
    case register_command_kind::announce:
        return "announce";
    case register_command_kind::leave:
        return "leave";
    case register_command_kind::forget:
        return "forget";
    case register_command_kind::evacuate:
        return "evacuate";
    case register_command_kind::restore:
        return "restore";
    }
    return "unknown";
}

std::string text_of(register_outcome outcome)
{
    switch (outcome)
    {
    case register_outcome::accepted:
        return "accepted";
    case register_outcome::conflict:
        return "conflict";
    case register_outcome::stale_version:
        return "stale_version";
    case register_outcome::outdated:
        return "outdated";
    }
    return "unknown";
}

} // namespace

void registry_node::submit_order(register_command command, std::string subject,
                                 std::shared_ptr<http_exchange> exchange, instant arrived_at)
{
    instant const now = instant::clock::now();
    instant const until = arrived_at + answer_limit;
    if (now >= until)
    {
        // Its caller has turned to another host, and may have sent the opposite order since.
        ++counters_.unavailable;
        log_change(log_level::warning, "order_late",
                   subject + " kind=" + text_of(command.kind) +
                       " age_ms=" + std::to_string(remaining_ms(now, arrived_at)));
        return exchange->respond(unavailable("the order waited too long to be read"));
    }
    stamp(command);
    submit(std::move(command), std::move(subject), std::move(exchange), until);
}

void registry_node::stamp(register_command& order) const
{
    order.known_index = replica_->applied();
    if (order.kind != register_command_kind::leave)
        return;
    auto const held = register_.upstreams().find(order.upstream.id);
    auto const gone = register_.departures().find(order.upstream.id);
    if (held != register_.upstreams().end())
        order.upstream.born_ms = held->second.row.born_ms;
    else if (gone != register_.departures().end())
        order.upstream.born_ms = gone->second.born_ms;
}

void registry_node::submit(register_command command, std::string subject,
                           std::shared_ptr<http_exchange> exchange, instant until)
{
    command.ticket = tickets_.next();
    pending_request order;
    order.exchange = std::move(exchange);
    order.command = encode(command);
    if (order.command.size() > max_command_bytes)
    {
        ++counters_.refused;
        error const reason =
            fail(error_code::invalid_document, "submit", "",
                 std::to_string(order.command.size()) + " bytes encoded, and at most " +
                     std::to_string(max_command_bytes) + " are allowed");
        log_change(log_level::warning, "order_refused",
                   subject + " reason=\"" + to_string(reason) + "\"");
        return order.exchange->respond(error_response(413, reason));
    }
    order.subject = std::move(subject);
    order.until = until;
    std::string const bytes = order.command;
    pending_.emplace(command.ticket.number, std::move(order));
    propose(bytes);
}

bool registry_node::propose_again(register_command command)
{
    auto const waiting = pending_.find(command.ticket.number);
    if (waiting->second.exchange->abandoned() || instant::clock::now() >= waiting->second.until)
        return false;
    stamp(command);
    waiting->second.command = encode(command);
    send_proposal(waiting->second.command);
    return true;
}

void registry_node::propose(std::string const& command)
{
    send_proposal(command);
    if (raft_->is_leader())
        replica_->drive();
}

void registry_node::send_proposal(std::string const& command)
{
    if (raft_->is_leader())
    {
        if (auto const proposed = raft_->propose(command); !proposed)
            log_change(log_level::warning, "proposal_held", to_string(proposed.error()));
        return;
    }
    auto const link = links_.find(raft_->leader());
    if (link != links_.end())
        link->second->send(frame_type::proposal, command);
}

void registry_node::complete_request(register_command const& command, register_outcome outcome)
{
    bool const own = tickets_.issued(command.ticket);
    auto const waiting = own ? pending_.find(command.ticket.number) : pending_.end();
    std::string const subject = waiting == pending_.end() ? "" : " " + waiting->second.subject;
    log_change(log_level::info, "applied",
               "index=" + std::to_string(replica_->applied().value()) +
                   " kind=" + text_of(command.kind) + " origin=" + command.ticket.origin.value() +
                   " outcome=" + text_of(outcome) +
                   " version=" + std::to_string(register_.version().value()) + subject);
    if (waiting == pending_.end())
        return;
    if (outcome == register_outcome::outdated && propose_again(command))
        return;
    if (outcome == register_outcome::accepted)
        waiting->second.exchange->respond(acknowledged());
    else if (outcome == register_outcome::outdated)
        waiting->second.exchange->respond(unavailable("outdated by a later order"));
    else
        waiting->second.exchange->respond(error_response(
            412, fail(error_code::conflict, "configure", "",
                      "configuration version " + std::to_string(register_.version().value()) +
                          " is in force")));
    pending_.erase(waiting);
}

void registry_node::expire_pending(instant now)
{
    std::erase_if(pending_,
                  [&](auto& item)
                  {
                      if (item.second.exchange->abandoned())
                          return true;
                      if (now < item.second.until)
                          return false;
                      ++counters_.unavailable;
                      log_change(log_level::warning, "order_unanswered",
                                 item.second.subject + " leader=" + raft_->leader().value());
                      item.second.exchange->respond(unavailable(
                          "outcome not known within " + std::to_string(answer_limit.count()) +
                          " ms; send the request again"));
                      return true;
                  });
    std::erase_if(pending_reads_,
                  [&](auto& item)
                  {
                      if (now < item.second.until)
                          return false;
                      ++counters_.unavailable;
                      item.second.exchange->respond(
                          unavailable("no answer of the leader within " +
                                      std::to_string(answer_limit.count()) + " ms"));
                      return true;
                  });
}

} // namespace guavashed
