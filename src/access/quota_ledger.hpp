/// \file
/// Defines quota_ledger, by which the leader of the control hosts divides the limit of each
/// workspace among the entry hosts.
#pragma once

#include "access/access_config.hpp"
#include "access/lease_messages.hpp"
#include "base/instant.hpp"

#include <vector>

namespace guavashed
{

/// Bounds within which the sum of admissions over all entry hosts may exceed a limit.
struct quota_settings
{
    /// Length of the sliding window that the limit is judged over, in seconds; 0 where limits are
    /// not in force.
    double window_s = 0;
    /// Tolerated excess, as a fraction of the window's limit and in requests.
    double overshoot = 0;
    double slack = 0;
};

/// Thread safety: none; owned by the control event loop.
class quota_ledger
{
public:
    explicit quota_ledger(quota_settings settings);

    void configure(access_config const& access, instant now);
    /// This host has become the leader: credit lines of the one before may still be in use.
    void begin_term(instant now);
    /// Charges the uses that the host reports, and returns its new credit lines.
    std::vector<credit_line> exchange(lease_request const& request, instant now);
};

} // namespace guavashed
