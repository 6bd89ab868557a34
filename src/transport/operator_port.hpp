/// \file
/// Defines operator_port, the HTTP port for operators, metrics collectors and health checks.
#pragma once

#include "transport/http_server.hpp"

#include <functional>
#include <string>

namespace guavashed
{

/// A request of an operator that may be answered from another duty.
struct operator_request
{
    http_request request;
    std::shared_ptr<http_exchange> exchange;
};

/// Takes operator requests; false when it cannot take more now.
using operator_sink = std::function<bool(operator_request)>;

/// `/metrics` and `/healthz` need no key; all else needs "Authorization: Bearer KEY".
/// Paths under `/v1/entry/` go to the entry role, the rest to control.
/// Thread safety: runs on a duty of its own.
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
    duty duty_;
    http_server server_;
};

/// JSON answer for an error: {"error":code,"step":...,"peer":...,"detail":...}. Thread safe.
http_response error_response(unsigned status, error const& failure);

} // namespace guavashed
