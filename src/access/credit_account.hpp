/// \file
/// Defines credit_account, the request credit that one entry host holds for limited workspaces.
#pragma once

#include "access/access_config.hpp"
#include "access/lease_messages.hpp"
#include "base/instant.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace guavashed
{

enum class credit_verdict : std::uint8_t
{
    admitted,
    /// The workspace has used up its limit.
    over_limit,
    /// No credit is held here, and the leader has not said that the limit is used up: ask it.
    unknown
};

struct credit_decision
{
    credit_verdict verdict = credit_verdict::admitted;
    /// With `over_limit`: time until a request would be admitted, in milliseconds.
    double wait_ms = 0;
};

/// Spends credit lines granted by the leader and accounts for what was admitted. Answers bursts of
/// one workspace: what is beyond its limit is refused without a message to another host. Thread
/// safety: none; owned by the entry's event loop.
class credit_account
{
public:
    /// Limits in force; workspaces without one are always admitted. Credit and totals of workspaces
    /// that keep a limit stay. Not to be called while limits are not in force (`quota_window_s` of
    /// 0), since the leader then grants nothing.
    void configure(access_config const& access);
    /// Takes credit for one request of the workspace. `is_retry` says that the request got
    /// `unknown` before, so that it isn't counted twice as demand.
    credit_decision admit(workspace_name const& workspace, instant now, bool is_retry = false);
    /// Returns the credit of a request that was admitted and then not run. The credit can be used
    /// again while its line is valid.
    void refund(workspace_name const& workspace);
    /// Uses to report: workspaces admitted, refused or asked for since their last report, totals
    /// that no grant has confirmed, and lines in use that are about to expire. Ends the urgency.
    std::vector<workspace_use> take_report(instant now);
    /// Whether a report should be sent at once, since requests wait for credit.
    bool is_report_urgent() const { return is_urgent_; }
    /// Whether take_report would return uses. Takes time proportional to the limited workspaces.
    bool has_report(instant now) const;
    /// Applies a grant that answers the report taken at `reported_at`; credit is valid for the
    /// lifetime of a line from then on. Grants of unknown reports, and those that answer an older
    /// report than one already applied, are ignored.
    void apply(std::vector<credit_line> const& lines, instant reported_at, instant now);

    /// Requests that may be admitted now without asking; 0 for workspaces without a limit.
    std::int64_t credit(workspace_name const& workspace, instant now) const;
    /// Decisions since the process started, for metrics; `admitted` leaves out unlimited ones.
    std::uint64_t admitted_total() const { return admitted_total_; }
    std::uint64_t over_limit_total() const { return over_limit_total_; }
    std::uint64_t unknown_total() const { return unknown_total_; }
    std::uint64_t refunded_total() const { return refunded_total_; }

private:
    struct report_record
    {
        instant reported_at;
        std::int64_t total = 0;
        std::uint32_t wanted = 0;
    };
    struct account
    {
        std::int64_t admitted = 0;
        /// Totals of the last report, and of the last report that a grant has answered.
        std::int64_t reported = 0;
        std::int64_t confirmed = 0;
        /// Total up to which requests may be admitted until `valid_until`.
        std::int64_t ceiling = 0;
        instant valid_until;
        instant last_report;
        instant last_applied;
        std::deque<report_record> unanswered;
        bool has_news = false;
        /// Requests since the last report that wait for its answer.
        std::uint32_t asked = 0;
        /// The leader has granted less than was wanted: no reserve is asked for until this time.
        instant tight_until;
        /// Moving average of requests per second, as of `demand_at`.
        double demand = 0;
        instant demand_at;
        /// The leader has said that the limit is used up; valid until this time.
        instant short_until;
        /// Time told to the next refused request, and from one refused request to the next.
        instant next_turn;
        instant::duration turn_spacing{};

        double demand_per_s(instant now) const;
        void count_demand(instant now);
        std::uint32_t wanted(instant now) const;
        bool must_report(instant now) const;
        double take_turn(instant now);
        void apply(credit_line const& line, instant reported_at, instant now);
    };

    std::unordered_map<workspace_name, account> accounts_;
    /// Highest total of the workspaces that were dropped. New ones start there, since a total that
    /// restarts at 0 within a life would read as a refund.
    std::int64_t dropped_total_ = 0;
    bool is_urgent_ = false;
    std::uint64_t admitted_total_ = 0;
    std::uint64_t over_limit_total_ = 0;
    std::uint64_t unknown_total_ = 0;
    std::uint64_t refunded_total_ = 0;
};

} // namespace guavashed
