/// \file
/// Defines the times that entry hosts and the leader must agree on for credit lines.
#pragma once

#include "base/instant.hpp"

namespace guavashed
{

/// An entry host spends a credit line for at most this long after it sent the request that the line
/// answers. A caller waits for a round trip to the leader where a host holds no credit, so it covers
/// the time between two requests of a workspace that sends one request every few seconds to each
/// host. Credit held by hosts without requests becomes available to others afterwards.
inline constexpr milliseconds credit_lifetime{4000};

/// Taken off the lifetime on entry hosts, for clock drift and the time to send an admitted request.
inline constexpr milliseconds credit_margin{50};

/// Usual time between two exchanges while there are uses to report.
inline constexpr milliseconds credit_exchange_interval{300};

} // namespace guavashed
