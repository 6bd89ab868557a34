/// \file
/// Defines retry_budget, which limits retries to a fraction of the first attempts.
#pragma once

#include "base/ids.hpp"

namespace guavashed
{

/// Token bucket of retries, filled by first attempts. Without a budget, retries of failed work
/// would add the load that keeps the work failing. Thread safety: none.
class retry_budget
{
public:
    /// `share` of the first attempts may be retried; at most `burst` unused retries accumulate.
    explicit retry_budget(permille share, double burst = 10.0) : share_(share), burst_(burst) {}

    /// Counts a first attempt.
    void earn()
    {
        credit_ += share_.value() / 1000.0;
        if (credit_ > burst_)
            credit_ = burst_;
    }

    /// Takes one retry from the budget; false when it is exhausted.
    bool spend()
    {
        if (credit_ < 1.0)
            return false;
        credit_ -= 1.0;
        return true;
    }

private:
    permille share_;
    double burst_;
    double credit_ = 1.0;
};

} // namespace guavashed
