/// \file
/// Defines the burn report: how much of each error budget was spent over several windows.
#pragma once

#include "control/configuration.hpp"
#include "reports/burn_ledger.hpp"

#include <string>
#include <vector>

namespace guavashed
{

/// Rows collected from one entry host.
struct burn_source
{
    host_name host;
    region_name region;
    std::vector<burn_row> rows;
};

/// Period before now that a line of the report covers.
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
    /// Upper bound of the latency bucket that holds the quantile; 0 if nothing was counted.
    std::uint32_t p50_ms = 0;
    std::uint32_t p99_ms = 0;
    /// Burn rate: errors relative to the error budget. At 1 the budget is used up exactly by the
    /// end of the objective's period.
    double burn = 0;
};

/// Counts of a region over all rows collected, with the causes.
struct burn_region
{
    region_name region;
    burn_counts counts;
};

struct burn_summary
{
    std::vector<burn_line> lines;
    std::vector<burn_region> regions;
    /// Hosts that did not answer, so that their counts are not in the report.
    std::vector<host_name> missing;
};

/// Sums the counts of all hosts for each kind and window, and for each region. Thread safe.
burn_summary summarize_burn(configuration const& config, std::vector<burn_source> const& sources,
                            std::vector<host_name> missing, std::int64_t now_minute);

/// Smallest bucket bound that at least the fraction `share` of the requests did not exceed. The
/// last bound if the quantile lies above it; 0 if nothing was counted. Thread safe.
std::uint32_t quantile_bound_ms(burn_counts const& counts, double share);

/// Print the report as a table for a terminal, as JSON, and as a self-contained HTML page. Thread
/// safe.
std::string print_burn_text(burn_summary const& summary);
std::string print_burn_json(burn_summary const& summary);
std::string print_burn_html(burn_summary const& summary);

} // namespace guavashed
