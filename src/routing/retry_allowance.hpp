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
    /// `ratio` second tries are earned by each first try; at most `capacity` are kept.
    void set(double ratio, double capacity)
    {
        tokens_per_attempt_ = ratio;
        capacity_ = capacity;
        tokens_ = std::min(tokens_, capacity_);
    }
    /// A first try was sent.
    void earn() { tokens_ = std::min(capacity_, tokens_ + tokens_per_attempt_); }
    /// Takes one second try; false when the allowance is used up.
    bool spend()
    {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }
    double tokens() const { return tokens_; }

private:
    double tokens_per_attempt_ = 0;
    double capacity_ = 0;
    double tokens_ = 0;
};

} // namespace guavashed
