/// \file
/// Defines http_server, which passes each HTTP/1.1 request to a handler and sends one answer.
#pragma once

#include "base/error.hpp"
#include "base/event_loop.hpp"
#include "base/ids.hpp"
#include "transport/http_message.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>

namespace guavashed
{

/// A request waiting for its answer.
class http_exchange
{
public:
    virtual ~http_exchange() = default;
    /// Sends the answer; a second call is ignored. Thread safe.
    virtual void respond(http_response response) = 0;
    /// True once the caller has closed its connection before the answer. Thread safe.
    virtual bool abandoned() const = 0;
    /// Sets an action that runs on the server's event loop if the caller disconnects before the
    /// answer. Precondition: called from `http_handler::on_request`.
    virtual void when_abandoned(std::function<void()> action) = 0;
};

/// Receives the requests of a port.
class http_handler
{
public:
    virtual ~http_handler() = default;
    /// Runs on the server's event loop; must not block. An exception that leaves it is answered
    /// with 500.
    virtual void on_request(http_request request, std::shared_ptr<http_exchange> exchange) = 0;
    /// Whether the request may run at the same time as others of its connection that allow it too.
    /// Runs on the server's event loop.
    virtual bool may_overlap(http_request const&) const { return false; }
};

struct http_server_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 256 * 1024;
    std::size_t max_connections = 4096;
    /// Longest time from a connection's last answer to the first byte of its next request, from a
    /// request's head to its end, and for which a caller may take nothing of an answer.
    std::chrono::milliseconds idle_timeout{60000};
    /// Longest time from the first byte of a request to the end of its head.
    std::chrono::milliseconds header_timeout{10000};
    /// Bytes of request bodies that all connections may hold; requests beyond it are refused with
    /// 503.
    std::size_t max_buffered_bytes = 64 * 1024 * 1024;
    /// Bytes of answers that all connections may hold until their callers have taken them. Beyond
    /// it, the connection whose caller has made the least progress for the longest is closed.
    std::size_t max_held_bytes = 64 * 1024 * 1024;
    /// Bytes of answers that one connection may hold before it runs no further request beside
    /// them.
    std::size_t max_connection_held_bytes = 1024 * 1024;
    /// Sets `http_request::arrived_at`, and drops requests whose callers have closed their
    /// connections before they were read. Takes two system calls for each read.
    bool stamps_arrivals = false;
};

struct http_server_counters
{
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> refused_connections{0};
    std::atomic<std::uint64_t> bad_requests{0};
    std::atomic<std::uint64_t> open{0};
    /// Requests refused because `max_buffered_bytes` were held.
    std::atomic<std::uint64_t> refused_for_memory{0};
    /// Bytes of answers that are held for callers now.
    std::atomic<std::uint64_t> held_bytes{0};
    /// Connections closed because `max_held_bytes` were exceeded.
    std::atomic<std::uint64_t> given_up_for_memory{0};
    /// Connections closed because their callers took nothing for `idle_timeout`.
    std::atomic<std::uint64_t> given_up_without_progress{0};
    /// Exceptions that left the handler.
    std::atomic<std::uint64_t> handler_failures{0};
};

/// Accepts HTTP/1.1 connections. Answers of a connection are sent in the order of its requests,
/// which run one after the other unless the handler lets them overlap.
class http_server
{
public:
    /// Preconditions: `owner` and `handler` outlive the server.
    http_server(event_loop& owner, http_handler& handler, http_server_limits limits);
    ~http_server();

    /// Binds and starts accepting. Call once, from any thread before traffic starts.
    result<void> listen(endpoint_text const& where);
    /// Applies to requests whose reading starts after this call. Thread safety: the owner's event
    /// loop only.
    void set_limits(http_server_limits limits);
    /// From now on each answer closes its connection; new connections are still accepted. Thread
    /// safe.
    void drain();
    /// Stops accepting connections, after those whose handshakes have begun. Idle connections are
    /// closed, others after the answer to their last request, which carries "Connection: close".
    /// Thread safe.
    void close();
    /// True before `listen`, and again when `close` has taken effect and all callers have closed
    /// their connections. Thread safe.
    bool closed() const;
    /// Thread safe.
    http_server_counters const& counters() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace guavashed
