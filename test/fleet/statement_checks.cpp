// Compares the arrivals at upstreams with what their earlier answers said.
#include "statement_checks.hpp"

#include <algorithm>

namespace fleet_test
{
using namespace guavashed;

namespace
{

// Bounds of the platform.
constexpr milliseconds drain_bound{2500};
constexpr milliseconds pause_slack{500};
constexpr std::size_t max_arrivals_in_pause = 2;

using call_map = std::map<std::string, standin::platform_call>;
using record_type = standin::platform_upstream_record;

bool is_excused(disturbances const& excuses, std::string const& subject, instant from,
                instant until)
{
    auto const found = excuses.find(subject);
    return found != excuses.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](disturbance const& item)
                       { return item.from <= until && item.until >= from; });
}

instant end_of(standin::platform_call const& call)
{
    return call.at + microseconds(static_cast<std::int64_t>(call.took_ms * 1000));
}

void check_leaving(call_map const& calls, record_type const& record, disturbances const& excuses,
                   std::vector<std::string>& violations)
{
    // When each entry host first passed on an answer with the statement.
    std::map<std::string, instant> told;
    for (auto const& arrival : record.arrivals)
    {
        auto const call = calls.find(arrival.id);
        if (!arrival.stated_leaving || call == calls.end() || call->second.status != 200)
            continue;
        instant const at = end_of(call->second);
        auto const [known, first] = told.try_emplace(call->second.entry, at);
        known->second = std::min(known->second, at);
    }
    for (auto const& arrival : record.arrivals)
    {
        auto const call = calls.find(arrival.id);
        auto const known = call == calls.end() ? told.end() : told.find(call->second.entry);
        if (known == told.end() || call->second.at <= known->second + drain_bound)
            continue;
        if (!is_excused(excuses, known->first, known->second, arrival.at))
            violations.push_back(arrival.id + " reached " + record.upstream + " from " +
                                 known->first + " " +
                                 std::to_string(remaining_ms(call->second.at, known->second)) +
                                 " ms after that host had passed on that the upstream leaves");
    }
}

void check_pauses(call_map const& calls, record_type const& record, disturbances const& excuses,
                  std::vector<std::string>& violations)
{
    std::map<std::string, std::vector<instant>> arrivals;
    for (auto const& arrival : record.arrivals)
        if (auto const call = calls.find(arrival.id); call != calls.end())
            arrivals[call->second.entry].push_back(arrival.at);
    for (auto const& arrival : record.arrivals)
    {
        auto const call = calls.find(arrival.id);
        if (!arrival.paused_until || call == calls.end())
            continue;
        std::string const& entry = call->second.entry;
        auto const& times = arrivals[entry];
        auto const count = static_cast<std::size_t>(
            std::count_if(times.begin(), times.end(),
                          [&](instant at)
                          { return at > arrival.at + pause_slack && at < *arrival.paused_until; }));
        bool const excused =
            is_excused(excuses, entry, arrival.at, *arrival.paused_until) ||
            is_excused(excuses, record.upstream, arrival.at, *arrival.paused_until);
        if (count > max_arrivals_in_pause && !excused)
            violations.push_back(std::to_string(count) + " requests reached " + record.upstream +
                                 " from " + entry + " in a pause of " +
                                 std::to_string(remaining_ms(*arrival.paused_until, arrival.at)) +
                                 " ms that it had asked for in the answer to " + arrival.id);
    }
}

} // namespace

std::vector<std::string>
check_statements(std::map<std::string, standin::platform_call> const& calls,
                 std::vector<standin::platform_upstream_record> const& records,
                 disturbances const& excuses)
{
    std::vector<std::string> violations;
    for (auto const& record : records)
    {
        check_leaving(calls, record, excuses, violations);
        check_pauses(calls, record, excuses, violations);
    }
    return violations;
}

} // namespace fleet_test
