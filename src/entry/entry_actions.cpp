// Executes the actions that entry_core returns: the I/O side of entry_node.
#include "base/codec.hpp"
#include "base/log.hpp"
#include "entry/entry_node.hpp"

#include <algorithm>

namespace guavashed
{
void entry_node::run_actions(instant now)
{
    for (auto& action : core_->take_actions())
        run(now, std::move(action));
}

void entry_node::run(instant now, entry_action&& action)
{
    if (auto* order = std::get_if<send_upstream>(&action))
        return send(now, std::move(*order));
    if (auto* reply = std::get_if<give_answer>(&action))
        return answer(now, std::move(*reply));
    if (auto* onward = std::get_if<send_forward>(&action))
        return forward(std::move(*onward));
    if (auto* claim = std::get_if<start_claim>(&action))
    {
        request_id const id = claim->id;
        if (!hub_->push(std::move(*claim)))
            core_->on_claim(now, id, claim_verdict::unreachable, {});
        return;
    }
    if (auto* record = std::get_if<record_claim>(&action))
    {
        hub_->push(std::move(*record));
        return;
    }
    if (auto* cancel = std::get_if<cancel_forward>(&action))
    {
        hub_->push(std::move(*cancel));
        return;
    }
    if (auto const* change = std::get_if<report_change>(&action))
        return log_change(log_level::info, "upstream_state",
                          "upstream=" + change->upstream.value() + " state=" + change->state);
    sender_->push(std::get<cancel_upstream>(action));
}

void entry_node::send(instant now, send_upstream&& order)
{
    attempt_id const attempt = order.attempt;
    auto const held = held_.find(order.id);
    upstream_work work{std::move(order), {}, {}, {}};
    if (held != held_.end())
    {
        work.body = held->second.content.body;
        work.caller = held->second.content.caller;
        work.key = held->second.content.key;
    }
    bool const pushed = held != held_.end() && sender_->push(std::move(work));
    if (!pushed)
    {
        attempt_result result;
        result.ending = attempt_ending::unsent;
        result.detail = "not sent: the ring to the upstream sender is full";
        core_->on_attempt(now, attempt, std::move(result));
        run_actions(now);
    }
}

void entry_node::forward(send_forward&& order)
{
    auto const held = held_.find(order.id);
    if (held == held_.end())
        return;
    hub_forward item{order, held->second.content};
    item.request.id = order.id;
    item.request.deadline_left_ms = remaining_ms(order.deadline, instant::clock::now());
    request_id const id = order.id;
    if (hub_->push(std::move(item)))
        return;
    forward_reply reply;
    reply.id = id;
    reply.outcome = outcome_kind::not_run;
    reply.reason = "not forwarded: the ring to the peer hub is full";
    core_->on_forward(instant::clock::now(), std::move(reply), false);
    run_actions(instant::clock::now());
}

void entry_node::answer(instant now, give_answer&& reply)
{
    auto const at = held_.find(reply.id);
    if (at == held_.end())
        return;
    held_request const held = std::move(at->second);
    held_.erase(at);
    if (reply.outcome == outcome_kind::answer)
        if (service_config const* service = find_service(core_->config(), held.content.service))
            if (work_kind_config const* kind = find_kind(*service, held.content.kind))
                latency_.add(kind->importance,
                             std::chrono::duration_cast<microseconds>(now - held.arrived));
    if (held.origin)
    {
        forward_reply out{held.origin_id, reply.outcome,           reply.status,
                          reply.cause,    std::move(reply.reason), std::move(reply.body)};
        hub_->push(hub_outgoing_reply{held.origin, std::move(out)});
        return;
    }
    held.exchange->respond(caller_response(std::move(reply)));
}

} // namespace guavashed
