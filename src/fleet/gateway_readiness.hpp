/// \file
/// Defines gateway_node::readiness, the HTTP server for readiness checks and metrics.
#pragma once

#include "fleet/gateway_node.hpp"

#include <functional>

namespace guavashed
{

/// "/metrics" returns metrics, any other path 200 when ready and 503 when not.
/// Thread safety: used on the owner's event loop only.
class gateway_node::readiness : public http_handler
{
public:
    readiness(event_loop& owner, std::function<bool()> ready, std::function<std::string()> metrics)
        : ready_(std::move(ready)), metrics_(std::move(metrics)), server_(owner, *this, {})
    {
    }

    result<void> listen(endpoint_text const& where) { return server_.listen(where); }

    void on_request(http_request request, std::shared_ptr<http_exchange> exchange) override
    {
        if (path_of(request.target) == "/metrics")
            return exchange->respond({200, {{"Content-Type", "text/plain"}}, metrics_()});
        bool const ready = ready_();
        exchange->respond(
            json_response(ready ? 200 : 503, ready ? "{\"ready\":true}" : "{\"ready\":false}"));
    }

private:
    std::function<bool()> ready_;
    std::function<std::string()> metrics_;
    http_server server_;
};

} // namespace guavashed
