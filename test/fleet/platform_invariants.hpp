/// \file
/// Defines the check of the platform's invariants, from the records of callers and upstreams.
#pragma once

#include "platform_caller.hpp"
#include "platform_upstream.hpp"

#include <map>
#include <string>
#include <vector>

namespace fleet_test
{

/// Request counts of a run.
struct call_counts
{
    std::size_t calls = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t unanswered = 0;
    /// Arrivals at upstreams after a request's first one.
    std::size_t second_arrivals = 0;
};

/// Formats the counts as one line. Thread safe.
std::string to_string(call_counts const& counts);

struct invariant_report
{
    call_counts counts;
    /// One line for each violation; empty when all invariants held.
    std::vector<std::string> violations;
};

/// Checks that unsafe requests run at most once, that refused ones did not run, that each response
/// belongs to its request, that valid requests get neither 400 nor 404, that drained upstreams get
/// no new requests, that upstreams receive only requests that callers sent, and that retries stay
/// within the retry budget. Thread safe.
invariant_report check_invariants(std::map<std::string, standin::platform_call> const& calls,
                                  std::vector<standin::platform_upstream_record> const& records);

} // namespace fleet_test
