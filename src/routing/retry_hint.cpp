// Computes Retry-After from the predicted end of a refusal's cause.
#include "routing/retry_hint.hpp"

#include <algorithm>
#include <cmath>

namespace guavashed
{
namespace
{

/// Without a prediction: a few service times of a typical route.
constexpr double default_hint_ms = 400;
/// A caller that connects anew and finds the cause unchanged has used up its retry.
constexpr double min_hint_ms = 100;
/// Width of the window over which callers refused together come back, relative to the hint.
constexpr double spread = 0.5;
/// Callers follow a hint up to this fraction of the time that they have left.
constexpr double followed_fraction = 1.0 / 3;
/// Shortest wait of a caller beyond a limit: the round trip to a caller and back takes 16 ms.
constexpr double min_limit_hint_ms = 20;
/// The wait itself already differs between the callers of one host; this spreads those of several.
constexpr double limit_spread = 0.2;

} // namespace

std::uint32_t retry_hint_ms(refusal_facts const& facts, double unit_random)
{
    double const expected = facts.expected_ms > 0 ? facts.expected_ms : default_hint_ms;
    double const hint = std::max(min_hint_ms, expected) * (1 + spread * unit_random);
    double const followed = std::max(min_hint_ms, facts.left_ms * followed_fraction);
    return static_cast<std::uint32_t>(std::min(hint, followed));
}

std::uint32_t limit_hint_ms(double wait_ms, double unit_random)
{
    double const hint = std::max(min_limit_hint_ms, wait_ms) * (1 + limit_spread * unit_random);
    return static_cast<std::uint32_t>(std::ceil(hint));
}

} // namespace guavashed
