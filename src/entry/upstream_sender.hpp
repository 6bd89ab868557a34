/// \file
/// Defines upstream_sender, the event loop that sends work to upstreams and classifies the results.
#pragma once

#include "base/event_loop.hpp"
#include "entry/entry_messages.hpp"
#include "transport/http_client.hpp"

#include <unordered_map>
#include <variant>

namespace guavashed
{

/// Command to send work; the other fields are parts that the decision does not read.
struct upstream_work
{
    send_upstream order;
    std::string body;
    caller_name caller;
    idempotency_key key;
};

using sender_command = std::variant<upstream_work, cancel_upstream>;

struct sender_result
{
    attempt_id attempt;
    attempt_result result;
};

/// Makes the HTTP calls of the attempts on its own event loop.
/// Thread safety: `push` from the decision event loop only.
class upstream_sender
{
public:
    using on_result = std::function<void(sender_result&&)>;

    /// `home` identifies this host and its incarnation to upstreams. `results` runs on `decision`.
    /// Precondition: `decision` outlives this.
    upstream_sender(event_loop& decision, std::string home, on_result results);

    /// False when the ring is full: the command is not carried out.
    bool push(sender_command command);
    void stop();

private:
    void start(upstream_work&& work);
    void cancel(attempt_id attempt);
    void finish(attempt_id attempt, http_outcome outcome);

    std::string home_;
    ring<sender_result> results_;
    event_loop thread_;
    http_client client_;
    ring<sender_command> commands_;
    std::unordered_map<attempt_id, http_call_id> running_;
};

/// Classifies an HTTP outcome as answered, refused unstarted, unsent or lost. Thread safe.
attempt_result classify_outcome(http_outcome outcome);

} // namespace guavashed
