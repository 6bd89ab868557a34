/// \file
/// Defines retry_allowance, this host's part of the fleet's budget for second tries of a service.
#pragma once

#include <algorithm>

namespace guavashed
{

/// A token bucket that first tries fill. The buckets of all hosts add up to less than the fleet's
/// budget, so no host needs to know what the others have spent. Thread safety: none.
class retry_allowance
{
public:
    /// `ratio` second tries are earned by each first try; at most `most` are kept.
    void set(double ratio, double most)
    {
        ratio_ = ratio;
        most_ = most;
        kept_ = std::min(kept_, most_);
    }
    /// A first try was sent.
    void earn() { kept_ = std::min(most_, kept_ + ratio_); }
    /// Takes one second try; false when the allowance is used up.
    bool spend()
    {
        if (kept_ < 1)
            return false;
        kept_ -= 1;
        return true;
    }
    double kept() const { return kept_; }

private:
    double ratio_ = 0;
    double most_ = 0;
    double kept_ = 0;
};

} // namespace guavashed
