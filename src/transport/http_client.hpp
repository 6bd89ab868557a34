/// \file
/// Defines http_client, which sends a request to one endpoint and tells how far it got.
#pragma once

#include "base/duty.hpp"
#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/instant.hpp"
#include "transport/http_message.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace guavashed
{

/// How much of a request may have left this process.
enum class send_stage
{
    unsent,
    sent
};

struct http_call
{
    endpoint_text endpoint;
    http_request request;
    /// When the call is given up; its connection is then closed, never reused.
    instant deadline;
    /// A call whose first byte has not left by then is not sent at all.
    instant send_by = instant::max();
    /// A kept-alive connection may be stale; work that must run at most once takes a fresh one.
    bool fresh_connection = false;
    /// When set, an answer counts only if its field `id_field` is this; any other answer is not
    /// ours, and its connection is closed.
    std::string expected_id;
    std::string id_field = "X-Request-Id";
    /// When a connection that is not established is given up; the call is then unsent.
    instant connect_by = instant::max();
    /// A kept connection that has been idle since before this is not used.
    instant idle_since = instant::min();
};

struct http_outcome
{
    /// The whole answer, absent when there is none.
    std::optional<http_response> response;
    send_stage stage = send_stage::unsent;
    error cause;
    /// How long a new connection took; absent when a kept one was used.
    std::optional<std::chrono::nanoseconds> connected_in;
};

using http_call_id = std::uint64_t;

class http_client
{
public:
    using done = std::function<void(http_outcome)>;

    /// Precondition: `owner` outlives the client's calls.
    explicit http_client(duty& owner);
    ~http_client();

    /// Starts a call; `on_done` runs once, on the owner's thread. Runs on the owner's thread only.
    http_call_id start(http_call call, done on_done);
    /// Closes the call's connection, so that the upstream sees a cancellation; `on_done` still
    /// runs. Owner's thread only; an unknown id is ignored.
    void cancel(http_call_id id);
    /// Connections opened so far. Owner's thread only.
    std::uint64_t connections_opened() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace guavashed
