// Compares the records of callers and upstreams with the invariants of the platform.
#include "platform_invariants.hpp"

#include <algorithm>

namespace fleet_test
{
using namespace guavashed;

namespace
{

// Bounds of the platform; the retry values match the `bounds` setting of platform_fleet.
constexpr milliseconds drain_bound{2500};
constexpr double retry_budget_share = 0.2;
constexpr double retry_budget_extra = 64;
constexpr std::chrono::seconds retry_window{10};

struct seen_request
{
    std::size_t arrivals = 0;
    std::size_t runs = 0;
    std::vector<instant> at;
};

/// Statuses that promise that a request has not run and never will.
bool promises_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void check_call(std::string const& id, standin::platform_call const& call, seen_request const& seen,
                std::vector<std::string>& violations)
{
    std::string const what = id + " sent to " + call.entry;
    if (call.at_most_once && seen.runs > 1)
        violations.push_back(what + " ran " + std::to_string(seen.runs) + " times");
    if (call.at_most_once && promises_not_run(call.status) && seen.runs > 0)
        violations.push_back(what + " got status " + std::to_string(call.status) +
                             " (not run), but ran " + std::to_string(seen.runs) + " times");
    if (call.status == 200 && !call.verified_response)
        violations.push_back(what + " got a response that does not belong to it");
    if (call.status == 200 && seen.runs == 0)
        violations.push_back(what + " got status 200, but no upstream ran it");
    if (call.status == 404 || call.status == 400)
        violations.push_back(what + " is valid, but got status " + std::to_string(call.status));
}

void count_call(standin::platform_call const& call, call_counts& counts)
{
    ++counts.calls;
    if (call.status == 200)
        ++counts.served;
    else if (call.status == 503)
        ++counts.refused;
    else if (call.status == 0)
        ++counts.unanswered;
    else
        ++counts.failed;
}

void check_drains(std::vector<standin::platform_upstream_record> const& records,
                  std::vector<std::string>& violations)
{
    for (auto const& record : records)
        for (auto const& arrival : record.arrivals)
            if (record.drain_acknowledged && arrival.at > *record.drain_acknowledged + drain_bound)
                violations.push_back(arrival.id + " reached an upstream more than " +
                                     std::to_string(drain_bound.count()) +
                                     " ms after its drain was acknowledged");
}

/// Checks that the second arrivals in any window of ten seconds stay within the retry budget that
/// the first arrivals in that window give.
void check_retry_budget(std::vector<instant> first, std::vector<instant> second,
                        std::vector<std::string>& violations)
{
    std::sort(first.begin(), first.end());
    std::sort(second.begin(), second.end());
    auto const within = [](std::vector<instant> const& times, instant from)
    {
        return std::lower_bound(times.begin(), times.end(), from + retry_window) -
               std::lower_bound(times.begin(), times.end(), from);
    };
    for (instant const from : second)
    {
        double const allowed =
            retry_budget_share * double(within(first, from)) + retry_budget_extra;
        if (double(within(second, from)) <= allowed)
            continue;
        violations.push_back(std::to_string(within(second, from)) +
                             " second arrivals within 10 s, allowed " + std::to_string(allowed));
        return;
    }
}

} // namespace

std::string to_string(call_counts const& counts)
{
    return "calls " + std::to_string(counts.calls) + ", served " + std::to_string(counts.served) +
           ", refused " + std::to_string(counts.refused) + ", failed " +
           std::to_string(counts.failed) + ", unanswered " + std::to_string(counts.unanswered) +
           ", second arrivals " + std::to_string(counts.second_arrivals);
}

invariant_report check_invariants(std::map<std::string, standin::platform_call> const& calls,
                                  std::vector<standin::platform_upstream_record> const& records)
{
    invariant_report report;
    std::map<std::string, seen_request> seen;
    for (auto const& record : records)
        for (auto const& arrival : record.arrivals)
        {
            seen_request& request = seen[arrival.id];
            ++request.arrivals;
            request.runs += arrival.ran ? 1 : 0;
            request.at.push_back(arrival.at);
        }
    for (auto const& [id, call] : calls)
    {
        count_call(call, report.counts);
        check_call(id, call, seen[id], report.violations);
    }
    std::vector<instant> first;
    std::vector<instant> second;
    for (auto& [id, request] : seen)
    {
        if (!calls.contains(id))
            report.violations.push_back(id + " arrived at an upstream, but no caller sent it");
        std::sort(request.at.begin(), request.at.end());
        for (std::size_t i = 0; i < request.at.size(); ++i)
            (i == 0 ? first : second).push_back(request.at[i]);
    }
    report.counts.second_arrivals = second.size();
    check_retry_budget(std::move(first), std::move(second), report.violations);
    check_drains(records, report.violations);
    return report;
}

} // namespace fleet_test
