/// \file
/// Defines latency_meter, response time quantiles by rank for the metrics of this process.
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"

#include <memory>
#include <string>

namespace guavashed
{

/// Streaming quantile estimates (P-square algorithm) for one process. Such estimates cannot be
/// merged across processes, so fleet-wide reports sum the histogram buckets of the burn ledger
/// instead. Thread safety: none.
class latency_meter
{
public:
    latency_meter();
    ~latency_meter();

    /// Adds one response time.
    void add(rank importance, microseconds took);
    /// Formats the metrics in the Prometheus text format; times in microseconds.
    std::string print() const;

private:
    struct accumulators;
    std::unique_ptr<accumulators> accumulators_;
};

} // namespace guavashed
