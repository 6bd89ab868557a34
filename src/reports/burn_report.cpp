// Sums burn rows into a report and prints it as text, JSON and HTML.
#include "reports/burn_report.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

namespace guavashed
{
namespace json = boost::json;

namespace
{

char const* const cause_names[burn_cause_count] = {"none", "queueing", "upstream",
                                                   "link", "refused",  "unknown"};

double burn_of(burn_counts const& counts, permille objective)
{
    if (counts.total == 0)
        return 0;
    double const bad = 1.0 - static_cast<double>(counts.good) / static_cast<double>(counts.total);
    double const budget = 1.0 - objective.value() / 1000.0;
    return bad / budget;
}

std::string two_digits(double value)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << value;
    return out.str();
}

/// Escapes text for HTML.
std::string escaped(std::string const& text)
{
    std::string out;
    for (char const c : text)
    {
        if (c == '<')
            out += "&lt;";
        else if (c == '>')
            out += "&gt;";
        else if (c == '&')
            out += "&amp;";
        else
            out += c;
    }
    return out;
}

/// Draws a horizontal bar; a burn of 1 fills half of it.
std::string bar(double burn)
{
    constexpr double full_width = 200;
    double const width = std::min(full_width, burn * full_width / 2);
    std::ostringstream out;
    out << "<svg width='" << full_width << "' height='12' role='img' aria-label='burn "
        << two_digits(burn) << "'><rect width='" << full_width
        << "' height='12' fill='#eee'/><rect width='" << width << "' height='12' fill='"
        << (burn > 1 ? "#333" : "#999") << "'/><line x1='" << full_width / 2 << "' x2='"
        << full_width / 2 << "' y1='0' y2='12' stroke='#000'/></svg>";
    return out.str();
}

std::string spent_text(burn_counts const& counts)
{
    std::string out;
    for (std::size_t i = 1; i < burn_cause_count; ++i)
        if (counts.spent[i] > 0)
            out += std::string(out.empty() ? "" : ", ") + cause_names[i] + " " +
                   std::to_string(counts.spent[i]);
    return out.empty() ? "nothing" : out;
}

} // namespace

std::vector<burn_window> const& burn_windows()
{
    static std::vector<burn_window> const windows = {
        {"5 min", 5}, {"1 h", 60}, {"6 h", 360}, {"3 d", 3 * 24 * 60}};
    return windows;
}

std::uint32_t quantile_bound_ms(burn_counts const& counts, double share)
{
    std::uint64_t total = 0;
    for (auto const count : counts.latency)
        total += count;
    if (total == 0)
        return 0;
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < latency_bounds_ms.size(); ++i)
    {
        below += counts.latency[i];
        if (static_cast<double>(below) >= share * static_cast<double>(total))
            return latency_bounds_ms[i];
    }
    return latency_bounds_ms.back();
}

burn_summary summarize_burn(configuration const& config, std::vector<burn_source> const& sources,
                            std::vector<host_name> missing, std::int64_t now_minute)
{
    burn_summary out;
    out.missing = std::move(missing);
    for (auto const& service : config.services)
        for (auto const& kind : service.kinds)
            for (auto const& window : burn_windows())
            {
                burn_line line{
                    service.name, kind.name, kind.importance, window, kind.objective, {}, 0, 0, 0};
                for (auto const& source : sources)
                    for (auto const& row : source.rows)
                        if (row.service == service.name && row.kind == kind.name &&
                            row.minute > now_minute - window.minutes)
                            line.counts.add(row.counts);
                line.p50_ms = quantile_bound_ms(line.counts, 0.5);
                line.p99_ms = quantile_bound_ms(line.counts, 0.99);
                line.burn = burn_of(line.counts, kind.objective);
                out.lines.push_back(std::move(line));
            }
    for (auto const& region : config.regions)
    {
        burn_region item{region.name, {}};
        for (auto const& source : sources)
            if (source.region == region.name)
                for (auto const& row : source.rows)
                    item.counts.add(row.counts);
        out.regions.push_back(std::move(item));
    }
    std::stable_sort(out.lines.begin(), out.lines.end(),
                     [](burn_line const& a, burn_line const& b)
                     { return a.importance < b.importance; });
    return out;
}

std::string print_burn_text(burn_summary const& summary)
{
    std::ostringstream out;
    out << std::left << std::setw(28) << "work" << std::setw(8) << "window" << std::right
        << std::setw(10) << "total" << std::setw(10) << "good" << std::setw(9) << "p50<=ms"
        << std::setw(9) << "p99<=ms" << std::setw(8) << "burn"
        << "  spent on\n";
    for (auto const& line : summary.lines)
        out << std::left << std::setw(28) << line.service.value() + "/" + line.kind.value()
            << std::setw(8) << line.window.label << std::right << std::setw(10) << line.counts.total
            << std::setw(10) << line.counts.good << std::setw(9) << line.p50_ms << std::setw(9)
            << line.p99_ms << std::setw(8) << two_digits(line.burn) << "  "
            << spent_text(line.counts) << "\n";
    out << "\n";
    for (auto const& region : summary.regions)
        out << "region " << region.region << ": " << region.counts.total << " pieces of work, "
            << region.counts.good << " good, spent on " << spent_text(region.counts) << "\n";
    for (auto const& host : summary.missing)
        out << "missing: host " << host << " did not answer, its counts are not in this report\n";
    return out.str();
}

std::string print_burn_json(burn_summary const& summary)
{
    json::array lines;
    for (auto const& line : summary.lines)
    {
        json::object spent;
        for (std::size_t i = 1; i < burn_cause_count; ++i)
            spent[cause_names[i]] = line.counts.spent[i];
        lines.push_back(json::object{{"service", line.service.value()},
                                     {"kind", line.kind.value()},
                                     {"window", line.window.label},
                                     {"objective_permille", line.objective.value()},
                                     {"total", line.counts.total},
                                     {"good", line.counts.good},
                                     {"p50_bound_ms", line.p50_ms},
                                     {"p99_bound_ms", line.p99_ms},
                                     {"burn", line.burn},
                                     {"spent", spent}});
    }
    json::array missing;
    for (auto const& host : summary.missing)
        missing.emplace_back(host.value());
    return json::serialize(json::object{{"lines", lines}, {"missing", missing}});
}

std::string print_burn_html(burn_summary const& summary)
{
    std::ostringstream out;
    out << "<!doctype html><html lang='en'><meta charset='utf-8'><title>guavashed burn "
           "report</title><style>body{font:14px serif;margin:2em}table{border-collapse:collapse}"
           "td,th{border-bottom:1px solid #999;padding:2px 8px;text-align:right}"
           "td:first-child,th:first-child{text-align:left}</style><h1>Service-level burn</h1>"
           "<p>A burn of 1.00, the line in each bar, spends the whole error budget.</p><table>"
           "<tr><th>work<th>window<th>total<th>good<th>p99 &le; ms<th>burn<th><th>spent on</tr>";
    for (auto const& line : summary.lines)
        out << "<tr><td>" << escaped(line.service.value() + "/" + line.kind.value()) << "<td>"
            << line.window.label << "<td>" << line.counts.total << "<td>" << line.counts.good
            << "<td>" << line.p99_ms << "<td>" << two_digits(line.burn) << "<td>" << bar(line.burn)
            << "<td>" << spent_text(line.counts) << "</tr>";
    out << "</table><h2>Regions</h2><ul>";
    for (auto const& region : summary.regions)
        out << "<li>" << escaped(region.region.value()) << ": " << region.counts.good << " good of "
            << region.counts.total << ", spent on " << spent_text(region.counts) << "</li>";
    out << "</ul>";
    for (auto const& host : summary.missing)
        out << "<p>Host " << escaped(host.value())
            << " did not answer; its counts are missing.</p>";
    out << "</html>\n";
    return out.str();
}

} // namespace guavashed
