/// \file
/// Defines quota_bucket, which divides the limit of one workspace among the entry hosts.
#pragma once

#include "access/lease_messages.hpp"
#include "base/instant.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <unordered_map>
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

/// Index that the ledger gives to an entry host.
using quota_host_index = strong_type<struct quota_host_index_tag, std::uint32_t>;

/// A token bucket and the credit lines granted from it. Each grant sets a ceiling: the total that
/// the host may reach. What lies between the reported total and the ceiling is outstanding. A line
/// counts as outstanding until its host has either reported after the end of the line, which shows
/// what was spent, or has been silent for so long that the line is charged as spent.
///
/// Invariant apart from single credits: level - outstanding >= -usable excess. With depth b, rate r
/// and window w, it limits the admissions in any window to b + r * w + usable excess.
/// Thread safety: none.
class quota_bucket
{
public:
    /// Time of the last exchange of a host; none when the host has been forgotten.
    using host_activity = std::function<instant(quota_host_index)>;

    /// The bucket starts with `level` requests, at most its depth. Preconditions: `rate` > 0.
    quota_bucket(quota_settings settings, double rate, double burst, double level, instant now);

    /// A raised limit adds only what flows in from now on.
    void set_limit(double rate, double burst, instant now, host_activity const& last_exchange);
    /// Forgets hosts and credit lines, and starts empty: the former leader's lines may still be in
    /// use.
    void begin_term(instant now);

    /// One host's report.
    struct report
    {
        quota_host_index host;
        std::uint64_t life = 0;
        std::int64_t total = 0;
        std::uint32_t wanted = 0;
    };
    struct grant
    {
        std::uint32_t credit = 0;
        std::uint32_t wait_ms = 0;
    };
    /// Charges the report and replaces the host's line. Precondition: `now` doesn't decrease from
    /// call to call.
    grant exchange(report const& use, instant now, host_activity const& last_exchange);

    /// Requests that the bucket holds; below 0 while the tolerated excess is in use.
    double level() const { return level_; }
    double outstanding() const { return outstanding_; }
    /// Credit charged as spent since its hosts were silent or restarted.
    double charged_unreported() const { return charged_unreported_; }
    double depth() const { return depth_; }
    std::size_t tracked_hosts() const { return slots_.size(); }

private:
    struct slot
    {
        std::uint64_t life = 0;
        std::int64_t total = 0;
        /// Total that the last line allows, and until when the line counts as outstanding.
        std::int64_t ceiling = 0;
        instant until;
        /// Highest total that earlier lines allow; the grant that lowered it may have been lost.
        std::int64_t former_ceiling = 0;
        instant former_until;
        double wanted = 0;
        /// Part of a credit that is owed to the host, so that small shares add up.
        double carry = 0;
        /// Recent charges, which bound what may be refunded.
        double refundable = 0;
        instant reported;
        bool has_reported = false;

        double remaining() const;
    };
    struct check
    {
        instant at;
        quota_host_index host;
        bool operator>(check const& other) const { return at > other.at; }
    };

    void refill(instant now);
    void advance(instant now, host_activity const& last_exchange);
    void resolve(check const& due, host_activity const& last_exchange);
    void charge(double requests);
    void charge_remaining(slot const& of);
    void charge_report(slot& of, report const& use, instant now);
    double usable_level(instant now) const;
    grant decide(slot& of, double room, instant now) const;
    std::uint32_t wait_ms(slot const& of, double granted, double room, double excess) const;

    quota_settings settings_;
    double rate_;
    double burst_;
    double depth_ = 0;
    double usable_excess_ = 0;
    double level_ = 0;
    double outstanding_ = 0;
    double wanted_sum_ = 0;
    double owed_ = 0;
    double charged_unreported_ = 0;
    instant refilled_;
    instant lines_expired_;
    instant excess_from_;
    std::unordered_map<quota_host_index, slot> slots_;
    std::priority_queue<check, std::vector<check>, std::greater<>> checks_;
};

} // namespace guavashed
