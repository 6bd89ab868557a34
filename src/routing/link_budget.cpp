// Admission control for a link of limited bandwidth: a virtual queue with one bound per priority.
#include "routing/link_budget.hpp"

#include <algorithm>
#include <chrono>

namespace guavashed
{
namespace
{

/// HTTP and TCP headers of a request and its response.
constexpr double overhead_bytes = 500;
/// Fraction of the link that requests may use; the rest carries heartbeats, views and
/// retransmissions.
constexpr double usable_fraction = 0.95;
/// Fraction of a latency objective that a request may spend in the link's queue.
constexpr double objective_queue_fraction = 0.4;
/// Queue bound for any objective. Bytes are reserved before the upstream's service time, so the
/// reserved queue is longer than the actual one.
constexpr double max_queue_ms = 400;
/// Queue bound for priority 1; priority n has 1/n of it.
constexpr double priority_1_queue_ms = 100;
/// Fraction of a route's requests that is admitted even if more important ones fill the link.
constexpr double min_admitted_fraction = 0.25;
/// Weight of a new observation in the moving average of response sizes.
constexpr double smoothing_factor = 0.05;

double bound_ms(link_request const& claim)
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

bool link_budget::admit(link_request const& claim, instant now)
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
    // The entry host receives and sends both the request and the response, so each direction of the
    // link carries the sum of their sizes.
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
