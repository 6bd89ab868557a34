/// \file
/// Defines link_budget, which keeps a thin link from being asked for more than it carries.
#pragma once

#include "base/instant.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace guavashed
{

/// What a request will bring over the link, and how much it matters.
struct link_claim
{
    std::string const& route;
    /// 0 is the most important.
    std::uint32_t priority = 0;
    std::uint32_t objective_ms = 0;
    /// Bytes that the request itself is long.
    std::size_t request_bytes = 0;
};

/// Bytes are reserved when a request is taken, from what answers on its route have been long. What
/// is reserved and not yet carried is a queue; each priority may lengthen it up to a bound of its
/// own, the less important ones less. Thread safety: none; the entry duty owns it.
class link_budget
{
public:
    /// `bytes_per_s` each way; 0 for a link without a bound.
    explicit link_budget(double bytes_per_s);

    /// Reserves the bytes of a request and its answer; false when the link has no room for it.
    bool admit(link_claim const& claim, instant now);
    /// An answer on that route was `bytes` long.
    void learn(std::string const& route, std::size_t bytes);

    /// Time that the link needs for what is reserved.
    double queue_ms(instant now) const;

private:
    struct route_use
    {
        double answer_bytes = 0;
        /// Requests that are taken whatever the queue, so that no route starves.
        double guaranteed_credit = 0;
    };
    double queued_bytes(instant now) const;

    double bytes_per_s_;
    double queued_bytes_ = 0;
    instant queued_at_;
    std::map<std::string, route_use> routes_;
};

} // namespace guavashed
