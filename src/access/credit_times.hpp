/// \file
/// Defines the times that entry hosts and the leader must agree on for credit lines.
#pragma once

#include "base/instant.hpp"

namespace guavashed
{

/// An entry host spends a credit line for at most this long after it sent the request that the line
/// answers. Longer than the longest time between two exchanges (1 s), so that steady use keeps its
/// credit; short, so that credit held by hosts without requests soon becomes available to others.
inline constexpr milliseconds credit_lifetime{1500};

/// Taken off the lifetime on entry hosts, for clock drift and the time to send an admitted request.
inline constexpr milliseconds credit_margin{50};

/// Usual time between two exchanges while there are uses to report.
inline constexpr milliseconds credit_exchange_interval{300};

} // namespace guavashed
