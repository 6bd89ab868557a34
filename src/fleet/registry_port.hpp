/// \file
/// Defines registry_node::port, the HTTP servers of a control host.
#pragma once

#include "fleet/registry_node.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

namespace guavashed
{

/// Thread safety: construct and `listen` before traffic; all else on the owner's event loop.
class registry_node::port : public http_handler
{
public:
    using receiver = std::function<void(http_request&&, std::shared_ptr<http_exchange>)>;

    port(event_loop& owner, receiver on_request) : owner_(owner), on_request_(std::move(on_request))
    {
    }

    result<void> listen(endpoint_text const& where)
    {
        servers_.push_back(std::make_unique<http_server>(owner_, *this, limits()));
        return servers_.back()->listen(where);
    }

    /// Answers close their connections from now on.
    void drain()
    {
        for (auto const& item : servers_)
            item->drain();
    }
    /// Refuses new connections and closes idle ones.
    void close()
    {
        for (auto const& item : servers_)
            item->close();
    }
    /// Whether all connections have ended after `close`. Thread safe.
    bool closed() const
    {
        return std::all_of(servers_.begin(), servers_.end(),
                           [](auto const& item) { return item->closed(); });
    }

    void on_request(http_request request, std::shared_ptr<http_exchange> exchange) override
    {
        on_request_(std::move(request), std::move(exchange));
    }

private:
    /// A configuration of thousands of routes takes a few megabytes.
    static http_server_limits limits()
    {
        http_server_limits out;
        out.max_body_bytes = 16 * 1024 * 1024;
        out.max_connections = 2048;
        // This host may have been paused since an order arrived.
        out.stamps_arrivals = true;
        return out;
    }

    event_loop& owner_;
    receiver on_request_;
    std::vector<std::unique_ptr<http_server>> servers_;
};

} // namespace guavashed
