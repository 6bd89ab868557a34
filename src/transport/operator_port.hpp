/// \file
/// Defines operator_port, the HTTP port for operators, metrics collectors and health checks.
#pragma once

#include "transport/http_server.hpp"

#include <functional>
#include <string>

namespace guavashed
{

/// A request of an operator, which may be answered from another event loop.
struct operator_request
{
    http_request request;
    std::shared_ptr<http_exchange> exchange;
};

/// Accepts operator requests; returns false when its queue is full.
using operator_sink = std::function<bool(operator_request)>;

/// `/metrics` and `/healthz` need no key; all other paths need "Authorization: Bearer KEY".
/// Paths under `/v1/entry/` go to the entry role and all others to control; a process with one role
/// passes it all requests. Thread safety: runs on its own event loop.
class operator_port
{
public:
    struct sinks
    {
        operator_sink entry;
        operator_sink control;
    };

    operator_port(std::string key, sinks to);
    ~operator_port();

    result<void> listen(endpoint_text const& where);
    void stop();

private:
    class handler;
    std::unique_ptr<handler> handler_;
    event_loop event_loop_;
    http_server server_;
};

/// JSON answer for an error: {"error":code,"step":...,"peer":...,"detail":...}. Thread safe.
http_response error_response(unsigned status, error const& failure);

} // namespace guavashed
