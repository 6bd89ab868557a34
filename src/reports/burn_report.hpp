/// \file
/// Defines burn_report, what was spent of each service-level objective over several windows.
#pragma once

#include "control/configuration.hpp"
#include "reports/burn_ledger.hpp"

#include <string>
#include <vector>

namespace guavashed
{

/// Rows of one entry host, as collected.
struct burn_source
{
    host_name host;
    region_name region;
    std::vector<burn_row> rows;
};

struct burn_window
{
    std::string label;
    std::int64_t minutes = 0;
};

/// The windows of a report: 5 minutes, 1 hour, 6 hours, 3 days. Thread safe.
std::vector<burn_window> const& burn_windows();

/// One kind of work over one window.
struct burn_line
{
    service_name service;
    work_kind_name kind;
    rank importance = rank::normal;
    burn_window window;
    permille objective;
    burn_counts counts;
    /// Upper bound of the bucket that holds this quantile, in milliseconds; 0 when there is none.
    std::uint32_t p50_ms = 0;
    std::uint32_t p99_ms = 0;
    /// Spent share of the error budget: 1 means that all of it is gone at this rate.
    double burn = 0;
};

/// What a region spent in the longest window, by cause.
struct burn_region
{
    region_name region;
    burn_counts counts;
};

struct burn_summary
{
    std::vector<burn_line> lines;
    std::vector<burn_region> regions;
    /// Hosts whose counts are not in the report.
    std::vector<host_name> missing;
};

/// Adds up all hosts' bucket counts. Thread safe.
burn_summary summarize_burn(configuration const& config, std::vector<burn_source> const& sources,
                            std::vector<host_name> missing, std::int64_t now_minute);

/// Smallest bucket bound below which `share` of the counts lie; the last bound when it is above
/// all, 0 when there are none. Thread safe.
std::uint32_t quantile_bound_ms(burn_counts const& counts, double share);

/// The report for a terminal, as JSON, and as one page of HTML that needs nothing else.
std::string print_burn_text(burn_summary const& summary);
std::string print_burn_json(burn_summary const& summary);
std::string print_burn_html(burn_summary const& summary);

} // namespace guavashed
