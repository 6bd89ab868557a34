/// \file
/// Defines retry_token_bucket, this host's share of the fleet-wide retry budget of a service.
#pragma once

#include <algorithm>

namespace guavashed
{

/// A token bucket that is filled by first attempts; each retry takes one token. The buckets of all
/// hosts add up to less than the fleet's budget, so hosts need not exchange how many tokens they
/// used. Thread safety: none.
class retry_token_bucket
{
public:
    /// Each first attempt adds `ratio` tokens; the bucket holds at most `capacity`.
    void set(double ratio, double capacity)
    {
        tokens_per_attempt_ = ratio;
        capacity_ = capacity;
        tokens_ = std::min(tokens_, capacity_);
    }
    /// Adds the tokens of one first attempt.
    void earn() { tokens_ = std::min(capacity_, tokens_ + tokens_per_attempt_); }
    /// Takes the token of one retry; returns false if less than one is left.
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
