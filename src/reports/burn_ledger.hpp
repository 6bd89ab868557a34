/// \file
/// Defines burn_ledger, counts of work by kind and minute from which burn reports are made.
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

/// Upper bounds of the latency buckets, in milliseconds; the last bucket has none.
inline constexpr std::array<std::uint32_t, 11> latency_bounds_ms = {2,   5,   10,   20,   50,  100,
                                                                    200, 500, 1000, 2000, 5000};

/// Counts of one kind of work in one minute. Counts add up over hosts; quantiles would not.
struct burn_counts
{
    std::uint64_t total = 0;
    std::uint64_t good = 0;
    std::array<std::uint64_t, burn_cause_count> spent{};
    std::array<std::uint64_t, latency_bounds_ms.size() + 1> latency{};

    /// Adds another host's or minute's counts. Thread safety: none.
    void add(burn_counts const& other);

    bool operator==(burn_counts const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(total, good, spent, latency);
    }
};

/// One kind's counts for one minute of the wall clock.
struct burn_row
{
    service_name service;
    work_kind_name kind;
    std::int64_t minute = 0;
    burn_counts counts;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, kind, minute, counts);
    }
};

/// How one piece of work ended, for the report.
struct burn_event
{
    service_name service;
    work_kind_name kind;
    outcome_kind outcome = outcome_kind::answer;
    burn_cause cause = burn_cause::none;
    milliseconds took{0};
    std::uint32_t objective_ms = 0;
};

/// Keeps minutes for three days; bounded by kinds times minutes. Thread safety: none.
class burn_ledger
{
public:
    void add(wall_instant now, burn_event const& event);
    /// Rows of the minutes from `since` on.
    std::vector<burn_row> rows_since(std::int64_t minute) const;
    /// Takes rows back after a restart; rows of the same minute add up.
    void restore(std::vector<burn_row> const& rows);

private:
    burn_counts& find_or_insert(service_name const& service, work_kind_name const& kind,
                                std::int64_t minute);

    std::vector<burn_row> rows_;
};

/// Minute of the wall clock. Thread safe.
std::int64_t minute_of(wall_instant time);

} // namespace guavashed
