/// \file
/// Defines latency_meter, quantiles of service time by rank for this process's own metrics.
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"

#include <memory>
#include <string>

namespace guavashed
{

/// P-square estimates of one process; reports over the fleet add up the burn ledger's buckets
/// instead, since estimates of quantiles cannot be merged. Thread safety: none.
class latency_meter
{
public:
    latency_meter();
    ~latency_meter();

    void add(rank importance, microseconds took);
    /// Lines in the Prometheus text format.
    std::string print() const;

private:
    struct accumulators;
    std::unique_ptr<accumulators> accumulators_;
};

} // namespace guavashed
