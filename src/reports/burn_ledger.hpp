/// \file
/// Defines burn_ledger, counts of requests by kind and minute, from which reports of error budget
/// burn are computed.
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"
#include "control/fleet_messages.hpp"

#include <array>
#include <cereal/types/array.hpp>
#include <cereal/types/vector.hpp>
#include <vector>

namespace guavashed
{

/// Upper bounds of the latency buckets, in milliseconds; one more bucket holds all above the last.
inline constexpr std::array<std::uint32_t, 11> latency_bounds_ms = {2,   5,   10,   20,   50,  100,
                                                                    200, 500, 1000, 2000, 5000};

/// Counts of one kind of work in one minute. Bucket counts can be summed over hosts; quantiles
/// cannot.
struct burn_counts
{
    std::uint64_t total = 0;
    /// Answered within the latency objective.
    std::uint64_t good = 0;
    /// Requests that were not good, by cause.
    std::array<std::uint64_t, burn_cause_count> spent{};
    /// Requests by latency bucket.
    std::array<std::uint64_t, latency_bounds_ms.size() + 1> latency{};

    /// Adds the counts of another host or minute. Thread safety: none.
    void add(burn_counts const& other);

    bool operator==(burn_counts const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(total, good, spent, latency);
    }
};

/// Counts of one kind of work for one minute of the wall clock.
struct burn_row
{
    service_name service;
    work_kind_name kind;
    /// Minutes since the epoch.
    std::int64_t minute = 0;
    burn_counts counts;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, kind, minute, counts);
    }
};

/// Outcome of one request, as the report counts it.
struct burn_event
{
    service_name service;
    work_kind_name kind;
    outcome_kind outcome = outcome_kind::answer;
    burn_cause cause = burn_cause::none;
    milliseconds took{0};
    std::uint32_t objective_ms = 0;
};

/// Keeps rows for three days; its size is bounded by kinds times minutes. Thread safety: none.
class burn_ledger
{
public:
    /// Counts a request in the minute of `now`, and drops rows past their retention.
    void add(wall_instant now, burn_event const& event);
    /// Rows of `minute` and later.
    std::vector<burn_row> rows_since(std::int64_t minute) const;
    /// Adds saved rows after a restart; counts of the same kind and minute are summed.
    void restore(std::vector<burn_row> const& rows);

private:
    /// Counts of that kind and minute, inserted if missing.
    burn_counts& find_or_insert(service_name const& service, work_kind_name const& kind,
                                std::int64_t minute);

    /// Ordered by minute.
    std::vector<burn_row> rows_;
};

/// Minutes since the epoch of the wall clock. Thread safe.
std::int64_t minute_of(wall_instant time);

} // namespace guavashed
