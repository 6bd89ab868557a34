#include "routing/link_budget.hpp"

#include <algorithm>
#include <chrono>

namespace guavashed
{
namespace
{

/// Headers of HTTP and TCP around a request or an answer, in bytes.
constexpr double overhead_bytes = 500;
/// Part of the link that requests may fill; the rest carries heartbeats, views and resends.
constexpr double usable_fraction = 0.95;
/// Part of a latency objective that may pass in the link's queue.
constexpr double objective_queue_fraction = 0.4;
/// Longest queue for any objective: reservations run ahead of the bytes by a work time.
constexpr double max_queue_ms = 400;
/// Queue up to which requests of priority 1 are taken, in ms; less important ones a part of it.
constexpr double priority_1_queue_ms = 100;
/// Part of a route's requests that is taken even when more important ones fill the link.
constexpr double min_admitted_fraction = 0.25;
/// Weight of a new observation.
constexpr double smoothing_factor = 0.05;

double bound_ms(link_claim const& claim)
{
    double const by_priority =
        claim.priority == 0 ? max_queue_ms : priority_1_queue_ms / claim.priority;
    return std::min(claim.objective_ms * objective_queue_fraction, by_priority);
}

} // namespace

link_budget::link_budget(double bytes_per_s) : bytes_per_s_(bytes_per_s * usable_fraction) {}

double link_budget::queued_bytes(instant now) const
{
    double const passed_s = std::chrono::duration<double>(now - queued_at_).count();
    return std::max(0.0, queued_bytes_ - std::max(0.0, passed_s) * bytes_per_s_);
}

double link_budget::queue_ms(instant now) const
{
    return bytes_per_s_ <= 0 ? 0 : queued_bytes(now) / bytes_per_s_ * 1000;
}

bool link_budget::admit(link_claim const& claim, instant now)
{
    if (bytes_per_s_ <= 0)
        return true;
    route_use& use = routes_[claim.route];
    use.guaranteed_credit = std::min(1.0, use.guaranteed_credit + min_admitted_fraction);
    double const queue = queue_ms(now);
    bool const has_room = queue <= bound_ms(claim);
    bool const is_guaranteed = use.guaranteed_credit >= 1 && queue <= max_queue_ms;
    if (!has_room && !is_guaranteed)
        return false;
    use.guaranteed_credit = std::max(0.0, use.guaranteed_credit - 1);
    // A request and its answer cross the link in both directions, on their way to the upstream
    // and back to the caller.
    double const bytes =
        static_cast<double>(claim.request_bytes) + use.answer_bytes + overhead_bytes;
    queued_bytes_ = queued_bytes(now) + bytes;
    queued_at_ = now;
    return true;
}

void link_budget::learn(std::string const& route, std::size_t bytes)
{
    if (bytes_per_s_ <= 0)
        return;
    double& known = routes_[route].answer_bytes;
    auto const length = static_cast<double>(bytes);
    known = known <= 0 ? length : known + (length - known) * smoothing_factor;
}

} // namespace guavashed
