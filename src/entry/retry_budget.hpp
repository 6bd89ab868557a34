/// \file
/// Defines retry_budget, which lets retries be a fraction of first tries and no more.
#pragma once

#include "base/ids.hpp"

namespace guavashed
{

/// Without a budget, retries of failed work become the flood that keeps the work failing.
/// Thread safety: none.
class retry_budget
{
public:
    /// `share` of first tries may be retried; up to `burst` retries may be saved up.
    explicit retry_budget(permille share, double burst = 10.0) : share_(share), burst_(burst) {}

    /// Counts a first try.
    void earn()
    {
        credit_ += share_.value() / 1000.0;
        if (credit_ > burst_)
            credit_ = burst_;
    }

    /// Takes one retry; false when the budget is spent.
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
