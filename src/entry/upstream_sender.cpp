// Defines the event loop that makes the HTTP calls to upstreams.
#include "entry/upstream_sender.hpp"

namespace guavashed
{
namespace
{

constexpr std::size_t ring_capacity = 16'384;

} // namespace

attempt_result classify_outcome(http_outcome outcome)
{
    attempt_result out;
    out.detail = outcome.cause.step.empty() ? std::string() : to_string(outcome.cause);
    if (!outcome.response)
    {
        out.ending =
            outcome.stage == send_stage::unsent ? attempt_ending::unsent : attempt_ending::lost;
        return out;
    }
    http_response& response = *outcome.response;
    out.status = response.status;
    out.body = std::move(response.body);
    bool const unstarted = response.field("X-Not-Started") == "1";
    out.ending = unstarted ? attempt_ending::refused_unstarted : attempt_ending::answered;
    if (unstarted)
        out.detail = "upstream answered with status " + std::to_string(response.status) +
                     " and did not start the work";
    return out;
}

upstream_sender::upstream_sender(event_loop& decision, std::string home, on_result results)
    : home_(std::move(home)), results_(decision, ring_capacity, std::move(results)),
      thread_("upstream"), client_(thread_),
      commands_(thread_, ring_capacity,
                [this](sender_command&& command)
                {
                    if (auto* work = std::get_if<upstream_work>(&command))
                        start(std::move(*work));
                    else
                        cancel(std::get<cancel_upstream>(command).attempt);
                })
{
}

bool upstream_sender::push(sender_command command)
{
    return commands_.push(std::move(command));
}

void upstream_sender::stop()
{
    thread_.stop();
}

void upstream_sender::start(upstream_work&& work)
{
    attempt_id const attempt = work.order.attempt;
    http_call call;
    call.endpoint = work.order.endpoint;
    call.deadline = work.order.deadline;
    call.send_by = work.order.send_by;
    call.fresh_connection = work.order.fresh_connection;
    call.request.method = "POST";
    call.request.target = "/work/" + work.order.kind.value();
    call.request.body = std::move(work.body);
    call.expected_id = std::to_string(attempt.value());
    instant const now = instant::clock::now();
    call.request.fields = {
        {"X-Request-Id", call.expected_id},
        {"X-Home", home_},
        {"X-Caller", work.caller.value()},
        {"X-Deadline-Ms", std::to_string(remaining_ms(work.order.deadline, now))}};
    if (!work.key.value().empty())
        call.request.fields.push_back({"Idempotency-Key", work.key.value()});
    running_[attempt] = client_.start(std::move(call), [this, attempt](http_outcome outcome)
                                      { finish(attempt, std::move(outcome)); });
}

void upstream_sender::cancel(attempt_id attempt)
{
    auto const at = running_.find(attempt);
    if (at != running_.end())
        client_.cancel(at->second);
}

void upstream_sender::finish(attempt_id attempt, http_outcome outcome)
{
    running_.erase(attempt);
    sender_result done{attempt, classify_outcome(std::move(outcome))};
    // A lost result would leak a slot, so the push is repeated until it succeeds. The ring holds
    // more results than there can be attempts in flight.
    while (!results_.push(done))
        std::this_thread::yield();
}

} // namespace guavashed
