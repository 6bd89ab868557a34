/// \file
/// Defines the check of what must hold, from what callers and upstreams saw.
#pragma once

#include "platform_caller.hpp"
#include "platform_upstream.hpp"

#include <map>
#include <string>
#include <vector>

namespace fleet_test
{

/// Counts that a run reports beside its breaches.
struct promise_counts
{
    std::size_t calls = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t unanswered = 0;
    std::size_t second_arrivals = 0;
};

/// One line for reports. Thread safe.
std::string to_string(promise_counts const& counts);

struct promise_report
{
    promise_counts counts;
    /// One line each; empty when all promises held.
    std::vector<std::string> breaches;
};

/// Checks: at most once, true refusals, whole answers, drains, nothing that nobody sent, and the
/// sum of second tries. Thread safe.
promise_report check_promises(std::map<std::string, standin::platform_call> const& calls,
                              std::vector<standin::platform_upstream_record> const& records);

} // namespace fleet_test
