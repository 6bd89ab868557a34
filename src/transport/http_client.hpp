/// \file
/// Defines http_client, which sends one request to one endpoint and reports whether any of it may
/// have been sent.
#pragma once

#include "base/error.hpp"
#include "base/event_loop.hpp"
#include "base/ids.hpp"
#include "base/instant.hpp"
#include "transport/http_message.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace guavashed
{

/// Whether any byte of a request may have left this process.
enum class send_stage
{
    unsent,
    sent
};

struct http_call
{
    endpoint_text endpoint;
    http_request request;
    /// When the call fails with a timeout; its connection is then closed, never reused.
    instant deadline;
    /// A call whose first byte has not been written by this time is not sent at all.
    instant send_by = instant::max();
    /// Opens a new connection. A kept-alive one may be stale, so a request that must run at most
    /// once is sent on a new one.
    bool fresh_connection = false;
    /// When set, an answer is accepted only if its field `id_field` has this value; any other
    /// answer belongs to another request, and its connection is closed. No connection carries the
    /// same id twice.
    std::string expected_id;
    std::string id_field = "X-Request-Id";
    /// Deadline for establishing a connection; a call that misses it is unsent.
    instant connect_by = instant::max();
    /// A kept-alive connection whose idle time began before this is not reused.
    instant idle_since = instant::min();
};

struct http_outcome
{
    /// The complete answer; absent when none was received or it was rejected.
    std::optional<http_response> response;
    send_stage stage = send_stage::unsent;
    /// Bytes that were received behind the answer; they answer no request.
    std::size_t surplus_bytes = 0;
    /// Set when there is no response.
    error cause;
    /// Connect time of a new connection; absent when a kept-alive one was used.
    std::optional<std::chrono::nanoseconds> connected_in;
};

using http_call_id = std::uint64_t;

/// Sends requests over new or pooled kept-alive connections.
class http_client
{
public:
    using done = std::function<void(http_outcome)>;

    /// Bytes of unfinished answers that all calls may hold, where nothing else is stated.
    static constexpr std::size_t default_max_buffered_bytes = 64 * 1024 * 1024;

    /// Beyond `max_buffered_bytes` of unfinished answers, one call fails: one whose upstream has
    /// stalled, the longest stalled first; without one, the largest answer that states no length;
    /// without one, the answer that has made the least progress for the longest.
    /// Precondition: `owner` outlives the client's calls.
    explicit http_client(event_loop& owner,
                         std::size_t max_buffered_bytes = default_max_buffered_bytes);
    ~http_client();

    /// Starts a call; `on_done` runs once, on the owner's thread. Owner's thread only.
    http_call_id start(http_call call, done on_done);
    /// Closes the call's connection, so that the upstream sees a cancellation; `on_done` still
    /// runs. Owner's thread only; an unknown id is ignored.
    void cancel(http_call_id id);
    /// Connections opened so far. Owner's thread only.
    std::uint64_t connections_opened() const;
    /// Bytes that unfinished answers hold now. Owner's thread only.
    std::size_t buffered_bytes() const;
    /// Calls that failed because of `max_buffered_bytes`. Owner's thread only.
    std::uint64_t given_up_for_memory() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace guavashed
