// One caller's request on an entry host: routing, admission, attempts, retries and the answer.
#include "base/invariant.hpp"
#include "base/log.hpp"
#include "fleet/gateway_node.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// For callers that state no deadline; the timeout of the route bounds it as well.
constexpr milliseconds default_deadline{30000};
/// A connect that takes longer has most likely lost its first packet, or the host is down.
constexpr milliseconds connect_timeout{350};
/// Attempts of one request that may fail before a byte was sent; they use no retry budget.
constexpr std::uint32_t max_connect_failures = 4;
/// Requests that are not idempotent reuse a connection only if it was used this recently: one that
/// the upstream is about to close would leave the outcome unknown.
constexpr milliseconds max_reuse_idle{2000};
/// From the start of a process to its first view where control hosts are running.
constexpr double lone_start_ms = 400;
/// The same where the whole fleet starts with it: connections, an election after the leases of an
/// earlier life, and a push of the view.
constexpr double fleet_start_ms = 1700;

/// Bytes of an unreadable field that a log line shows.
constexpr std::size_t max_logged_value = 64;

std::string integer_text(double value)
{
    return std::to_string(static_cast<std::int64_t>(value));
}

} // namespace

void gateway_node::on_request(http_request request, std::shared_ptr<http_exchange> exchange)
{
    ++counters_.requests;
    auto item = std::make_shared<call>();
    calls_.insert(item);
    item->arrived = instant::clock::now();
    item->facts = protocol_.read_call(request);
    item->request = std::move(request);
    item->exchange = std::move(exchange);
    item->table = table_;
    item->access = access_;
    item->exchange->when_abandoned([this, item] { on_abandoned(item); });
    route_call(item);
}

double gateway_node::expected_start_ms(instant now) const
{
    double const age_ms = ms_between(started_, now);
    return (age_ms < lone_start_ms ? lone_start_ms : fleet_start_ms) - age_ms;
}

bool gateway_node::may_overlap(http_request const& request) const
{
    if (!table_)
        return false;
    auto const* const route =
        table_->find(std::string(request.field("Host")), path_of(request.target));
    return route != nullptr && route->idempotent;
}

void gateway_node::route_call(call_ptr const& item)
{
    if (!item->table)
        return refuse(item, "no configuration received yet", expected_start_ms(item->arrived));
    if (item->arrived >= drain_.refuse_from)
        return refuse(item, "this host is draining", leaving_retry_after_ms);
    item->route = item->table->find(item->facts.host, path_of(item->request.target));
    if (item->route == nullptr)
        return answer(item, protocol_.local_response(404, item->facts.id, "no route matches", 0),
                      "no_route", "host=" + item->facts.host);
    item->deadline =
        std::min(caller_deadline(*item), item->arrived + milliseconds(item->route->timeout_ms));
    if (authorize(item))
        dispatch(item);
}

void gateway_node::dispatch(call_ptr const& item)
{
    item->service = item->table->next_service(*item->route);
    link_request const claim{item->route->name, item->priority, item->route->objective_ms,
                             item->request.body.size()};
    // Not its arrival, which may be earlier than that of a request admitted before it.
    instant const now = instant::clock::now();
    if (!link_budget_.admit(claim, now))
    {
        double const queue_ms = link_budget_.queue_ms(now);
        return refuse(item,
                      "network link of this host saturated: queue_ms=" + integer_text(queue_ms),
                      queue_ms);
    }
    attempt(item);
}

instant gateway_node::caller_deadline(call const& item)
{
    return item.arrived +
           (item.facts.deadline_ms ? milliseconds(*item.facts.deadline_ms) : default_deadline);
}

void gateway_node::attempt(call_ptr const& item)
{
    instant const now = instant::clock::now();
    if (detect_pause(now))
        return answer_failure(item, false, "this host was paused and its fleet view may be stale",
                              ms_between(now, view_unverified_until_));
    pick_refusal refusal;
    auto const chosen = board_.choose({*item->route, item->service, item->facts.object, item->tried,
                                       item->deadline, drain_.answer_by, &item->regions},
                                      now, refusal);
    if (!chosen)
    {
        bool const late = refusal.why == pick_failure::too_late;
        if (late && is_leaving())
            return answer_failure(item, false, "no upstream can answer before this host stops",
                                  leaving_retry_after_ms);
        return answer_failure(
            item, false, late ? "no upstream can answer before the deadline" : "no usable upstream",
            refusal.expected_ms);
    }
    item->chosen = *chosen;
    item->sent_at = now;
    if (item->tried.empty())
        allowance_of(item->service).earn();
    item->tried.insert(chosen->id);
    ++counters_.attempts;
    http_call order;
    order.endpoint = chosen->address;
    order.request = protocol_.forward(item->request, chosen->id, remaining_ms(item->deadline, now),
                                      identity_of(*item));
    order.deadline = item->deadline;
    order.send_by = item->deadline;
    order.connect_by = now + connect_timeout;
    order.expected_id = item->facts.id;
    order.id_field = protocol_.id_field();
    // After one reused connection was lost, others may be dead too: open a new one.
    if (item->may_have_run)
        order.idle_since = now;
    else if (!item->route->idempotent)
        order.idle_since = now - max_reuse_idle;
    item->running = client_.start(std::move(order), [this, item](http_outcome outcome)
                                  { on_attempt_end(item, std::move(outcome)); });
}

attempt_end gateway_node::describe(call const& item, http_outcome const& outcome,
                                   response_metadata const& facts)
{
    attempt_end end;
    end.unsent = outcome.stage == send_stage::unsent;
    end.answered = outcome.response.has_value();
    end.status = end.answered ? outcome.response->status : 0;
    end.is_signed = facts.is_signed;
    end.statement = facts.statement;
    if (facts.responder != upstream_name())
        end.sender =
            facts.responder == item.chosen.id ? answer_sender::target : answer_sender::other;
    end.has_surplus = outcome.surplus_bytes > 0;
    return end;
}

void gateway_node::on_attempt_end(call_ptr const& item, http_outcome&& outcome)
{
    instant const now = instant::clock::now();
    item->running = 0;
    response_metadata facts;
    if (outcome.response)
        facts = protocol_.read_answer(*outcome.response);
    attempt_end const end = describe(*item, outcome, facts);
    attempt_verdict const verdict = judge(end);
    report_attempt(item, outcome, end, facts, verdict, now);
    if (verdict == attempt_verdict::not_run || is_unproven_refusal(end))
        note_refusal(*item, outcome, end, facts, now);
    if (item->finished)
        return;
    if (verdict == attempt_verdict::relay)
    {
        ++counters_.relayed;
        link_budget_.learn(item->route->name, outcome.response->body.size());
        return answer(item, protocol_.relay(std::move(*outcome.response)), "relayed", "");
    }
    if (verdict == attempt_verdict::may_have_run)
        item->may_have_run = true;
    if (end.unsent)
        ++item->connect_failures;
    else
        ++item->attempts;
    if (may_retry(*item, verdict, end.unsent, now))
        return attempt(item);
    // An error status that the upstream itself returned is relayed.
    if (verdict == attempt_verdict::may_have_run && may_relay_failure(end))
        return answer(item, protocol_.relay(std::move(*outcome.response)), "upstream_failed", "");
    std::string const reason = outcome.response
                                   ? "upstream answered with status " + std::to_string(end.status)
                                   : to_string(outcome.cause);
    if (is_cutting_short_)
        return answer_failure(item, now >= item->deadline, "this host stops: " + reason,
                              leaving_retry_after_ms);
    answer_failure(item, now >= item->deadline, reason, 0);
}

void gateway_node::report_attempt(call_ptr const& item, http_outcome const& outcome,
                                  attempt_end const& end, response_metadata const& facts,
                                  attempt_verdict verdict, instant now)
{
    attempt_report report;
    report.took_ms = ms_between(item->sent_at, now);
    report.load = facts.load;
    report.cold_left_ms = facts.cold_left_ms;
    if (outcome.response)
        report.answered_ms = wall_ms(std::chrono::system_clock::now());
    report.is_leaving = facts.is_leaving;
    report.pause_ms = facts.pause_ms;
    if (!facts.unreadable_pause.empty())
        log_change(log_level::warning, "pause_unreadable",
                   "upstream=" + item->chosen.id.value() + " id=" + item->facts.id + " value=\"" +
                       facts.unreadable_pause.substr(0, max_logged_value) + "\"");
    if (outcome.connected_in)
        report.connect_ms =
            std::chrono::duration<double, std::milli>(*outcome.connected_in).count();
    report.result = item->finished ? attempt_result::abandoned : classify(end, verdict);
    board_.report(item->chosen, item->route->name, report, now);
}

void gateway_node::note_refusal(call const& item, http_outcome const& outcome,
                                attempt_end const& end, response_metadata const& facts, instant now)
{
    bool const is_doubted = is_unproven_refusal(end);
    std::string line = "id=" + item.facts.id + " upstream=" + item.chosen.id.value() +
                       " born_ms=" + std::to_string(item.chosen.born_ms) + workspace_text(item);
    if (is_doubted)
        ++counters_.doubted_refusals;
    else
    {
        not_run_basis const basis = basis_of(end);
        ++counters_.not_run[static_cast<std::size_t>(basis)];
        line += std::string(" basis=") + to_string(basis);
    }
    line += " took_ms=" + integer_text(ms_between(item.sent_at, now));
    if (end.unsent)
        line += " reason=\"" + to_string(outcome.cause) + "\"";
    else
        line += " status=" + std::to_string(end.status) + " statement=\"" +
                facts.statement_text.substr(0, max_logged_value) + "\" responder=\"" +
                facts.responder.value().substr(0, max_logged_value) +
                "\" signed=" + (end.is_signed ? "1" : "0") +
                " connection=" + (outcome.connected_in ? "new" : "kept") +
                " surplus_bytes=" + std::to_string(outcome.surplus_bytes);
    log_request(is_doubted ? "refusal_doubted" : "attempt_not_run", line);
}

bool gateway_node::may_retry(call const& item, attempt_verdict verdict, bool unsent, instant now)
{
    if (now >= item.deadline || is_cutting_short_)
        return false;
    if (verdict == attempt_verdict::may_have_run && !item.route->idempotent)
        return false;
    if (unsent)
        return item.connect_failures < max_connect_failures;
    if (item.attempts >= item.route->max_attempts)
        return false;
    bool const allowed = allowance_of(item.service).spend();
    if (allowed)
        ++counters_.second_attempts;
    return allowed;
}

void gateway_node::on_abandoned(call_ptr const& item)
{
    if (item->finished)
        return;
    item->finished = true;
    calls_.erase(item);
    ++counters_.abandoned;
    log_request("request", "id=" + item->facts.id + " outcome=abandoned took_ms=" +
                               integer_text(ms_between(item->arrived, instant::clock::now())) +
                               " attempts=" + std::to_string(item->attempts) +
                               workspace_text(*item));
    held_.remove(item);
    if (item->running != 0)
        client_.cancel(item->running);
}

void gateway_node::answer_failure(call_ptr const& item, bool timed_out, std::string const& reason,
                                  double expected_ms)
{
    if (!item->may_have_run)
        return refuse(item, reason, expected_ms);
    if (timed_out)
    {
        ++counters_.timed_out;
        return answer(item, protocol_.local_response(504, item->facts.id, reason, 0), "timed_out",
                      reason);
    }
    ++counters_.failed;
    answer(item, protocol_.local_response(502, item->facts.id, reason, 0), "failed", reason);
}

void gateway_node::refuse(call_ptr const& item, std::string const& reason, double expected_ms)
{
    GUAVASHED_INVARIANT(!item->may_have_run)
        << "request " << item->facts.id << " refused as not run, though an attempt may have run";
    ++counters_.refused;
    return_credit(*item);
    std::uint32_t const hint =
        retry_hint_ms({expected_ms, ms_between(instant::clock::now(), caller_deadline(*item))},
                      std::uniform_real_distribution<double>()(random_));
    answer(item, protocol_.local_response(503, item->facts.id, reason, hint), "refused",
           reason + " retry_after_ms=" + std::to_string(hint));
}

void gateway_node::answer(call_ptr const& item, http_response response, char const* outcome,
                          std::string const& reason)
{
    if (item->finished)
        return;
    item->finished = true;
    calls_.erase(item);
    double const took = ms_between(item->arrived, instant::clock::now());
    auto const bucket = std::lower_bound(bucket_ms.begin(), bucket_ms.end(), took);
    ++latencies_[static_cast<std::size_t>(bucket - bucket_ms.begin())];
    latency_sum_ms_ += took;
    unsigned const status = response.status;
    // Respond last: the exchange may start the next request of its connection in that call.
    std::string line = "id=" + item->facts.id + " outcome=" + outcome +
                       " status=" + std::to_string(status) + " took_ms=" + integer_text(took);
    if (item->route != nullptr)
        line += " route=" + item->route->name + " service=" + item->service.value() +
                " object=" + item->facts.object +
                " version=" + std::to_string(item->table->config().version.value()) +
                " view=" + std::to_string(view_index_) +
                " attempts=" + std::to_string(item->attempts) +
                " left_ms=" + std::to_string(remaining_ms(item->deadline, instant::clock::now()));
    line += workspace_text(*item);
    if (!item->tried.empty())
        line += " upstream=" + item->chosen.id.value() +
                " place=" + std::to_string(item->chosen.place) +
                " predicted_ms=" + integer_text(item->chosen.predicted_ms) +
                " wait_ms=" + integer_text(item->chosen.wait_ms);
    if (!reason.empty())
        line += " reason=\"" + reason + "\"";
    log_request("request", line);
    item->exchange->respond(std::move(response));
    item->exchange.reset();
}

} // namespace guavashed
