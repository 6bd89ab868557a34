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
    /// Runs on the server's event loop; must not block.
    virtual void on_request(http_request request, std::shared_ptr<http_exchange> exchange) = 0;
};

struct http_server_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 256 * 1024;
    std::size_t max_connections = 4096;
    /// Longest time from a connection's last answer to the end of its next request, and for
    /// writing an answer.
    std::chrono::milliseconds idle_timeout{60000};
};

struct http_server_counters
{
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> refused_connections{0};
    std::atomic<std::uint64_t> bad_requests{0};
    std::atomic<std::uint64_t> open{0};
};

/// Accepts HTTP/1.1 connections and serves one request at a time on each.
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
    /// Stops accepting connections. Open ones are closed after their next answer, which carries
    /// "Connection: close". Thread safe.
    void close();
    /// Thread safe.
    http_server_counters const& counters() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace guavashed
