/// \file
/// Defines link_budget, admission control for a link of limited bandwidth.
#pragma once

#include "base/instant.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace guavashed
{

/// A request that asks for bandwidth, and its importance.
struct link_request
{
    std::string const& route;
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    std::uint32_t objective_ms = 0;
    /// Size of the request itself, without the response.
    std::size_t request_bytes = 0;
};

/// Admission reserves the bytes of the request and an estimate of its response, learned per route.
/// Bytes that are reserved and not yet transferred form a virtual queue that drains at the link's
/// rate. Each priority has its own bound on that queue; lower priorities have shorter bounds.
/// Thread safety: none; owned by the entry's event loop.
class link_budget
{
public:
    /// `bytes_per_s` is the bandwidth in each direction; 0 means unlimited.
    explicit link_budget(double bytes_per_s);

    /// Reserves the bytes of a request and its response; returns false if the link has no capacity
    /// for them.
    bool admit(link_request const& claim, instant now);
    /// Updates the estimate of response sizes of `route` with a response of `bytes`.
    void learn(std::string const& route, std::size_t bytes);

    /// Time that the link needs to transfer the reserved bytes.
    double queue_ms(instant now) const;

private:
    struct route_use
    {
        double answer_bytes = 0;
        /// Requests that are admitted beyond the priority's queue bound, so that no route starves.
        double guaranteed_credit = 0;
    };
    double queued_bytes(instant now) const;

    double bytes_per_s_;
    double queued_bytes_ = 0;
    instant queued_at_;
    std::map<std::string, route_use> routes_;
};

} // namespace guavashed
