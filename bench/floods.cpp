// Measures goodput and latency of each kind of work while another kind is offered at ten times the
// capacity.
#include "figures.hpp"
#include "fleet.hpp"

#include <algorithm>
#include <iostream>

namespace bench
{
namespace json = boost::json;
using fleet_test::fleet;

namespace
{

/// Factor on the upstreams' service times. It lowers the capacity, so that one machine can offer
/// ten times that load.
constexpr double service_scale = 4;
constexpr double phase_s = 10;
// Capacity in requests per second: slots divided by the scaled service time in seconds.
constexpr double roster_capacity = 80 / 0.160;
constexpr double archive_capacity = 64 / 0.240;
constexpr double check_floor_share = 0.2;

/// Load within the capacity, as kind=rate:deadline in ms; `keyed` adds an idempotency key.
std::vector<std::string> calm_loads()
{
    return {"roster/confirm=30:3000:keyed", "roster/check=200:3000", "archive/read=100:4000"};
}

/// Runs the calm load for one phase, with the flood beside it if there is one. Returns the report
/// of the calm load and writes that of the flood to `flood_report`.
json::object run_phase(fleet& deployment, std::vector<std::string> const& flood,
                       json::object* flood_report, std::uint64_t seed)
{
    deployment.start_load("calm", calm_loads(), phase_s, seed);
    if (!flood.empty())
        deployment.start_load("flood", flood, phase_s, seed + 1);
    json::object report = deployment.await_load("calm");
    if (!flood.empty())
        *flood_report = deployment.await_load("flood");
    return report;
}

/// A number from the report on one kind of work.
double number(json::object const& report, char const* work, char const* field)
{
    return report.at(work).as_object().at(field).to_number<double>();
}

} // namespace

void run_floods(bench_paths const& where, bool baseline)
{
    std::string const prefix = baseline ? "baseline_" : "";
    fleet_test::fleet_options options;
    options.example_folder = where.examples + "/harvesters";
    options.binary_folder = where.binaries;
    options.work_folder = where.work + "/floods";
    options.policy = baseline ? "arrival" : "ranked";
    options.service_scale = service_scale;
    options.seed = 7;
    fleet deployment(options);
    if (!deployment.start())
    {
        std::cerr << "the deployment with policy " << options.policy
                  << " did not start; logs are in " << options.work_folder << "\n";
        return;
    }
    run_phase(deployment, {}, nullptr, 10); // warms up upstreams and service-time estimates
    json::object flood;
    json::object const calm = run_phase(deployment, {}, nullptr, 20);
    std::string const archive_flood =
        "archive/read=" + std::to_string(10 * archive_capacity) + ":4000";
    json::object const during_archive_flood = run_phase(deployment, {archive_flood}, &flood, 30);
    std::string const check_flood =
        "roster/check=" + std::to_string(10 * roster_capacity) + ":3000";
    json::object const during_check_flood = run_phase(deployment, {check_flood}, &flood, 40);
    double const useful = number(during_check_flood, "roster/check", "in_deadline") +
                          number(during_check_flood, "roster/confirm", "in_deadline") +
                          number(flood, "roster/check", "in_deadline");
    double const check_busy_s = std::max(number(flood, "roster/check", "busy_s"),
                                         number(during_check_flood, "roster/check", "busy_s"));
    std::string const urgent_flood =
        "roster/confirm=" + std::to_string(10 * roster_capacity) + ":3000:keyed";
    json::object const during_urgent_flood = run_phase(deployment, {urgent_flood}, &flood, 50);

    double const calm_p99 = number(calm, "roster/confirm", "p99_ms");
    double const calm_check_count = number(calm, "roster/check", "in_deadline");
    print(prefix + "urgent_p99_calm_ms", calm_p99, "ms");
    print(prefix + "urgent_p99_archive_flood_ratio",
          number(during_archive_flood, "roster/confirm", "p99_ms") / calm_p99, "ratio");
    print(prefix + "urgent_p99_checks_flood_ratio",
          number(during_check_flood, "roster/confirm", "p99_ms") / calm_p99, "ratio");
    print(prefix + "consult_kept_archive_flood_ratio",
          number(during_archive_flood, "roster/check", "in_deadline") / calm_check_count, "ratio");
    // Work still queued when a phase ends runs after it, so that rates are taken over the time
    // until the last answer within its deadline (`busy_s`), not over the phase.
    double const floor =
        check_floor_share * roster_capacity * number(during_urgent_flood, "roster/check", "busy_s");
    print(prefix + "consult_kept_urgent_flood_ratio",
          number(during_urgent_flood, "roster/check", "in_deadline") / floor, "ratio");
    print(prefix + "useful_work_overload_ratio", useful / (roster_capacity * check_busy_s),
          "ratio");

    double mixed = 0;
    for (json::object const* report : std::initializer_list<json::object const*>{
             &calm, &during_archive_flood, &during_check_flood, &during_urgent_flood, &flood})
        for (auto const& field : *report)
            mixed += field.value().as_object().at("mixed").to_number<double>();
    unsigned const bad_exits = deployment.stop_gracefully();
    auto totals = deployment.upstream_totals();
    auto const keys = deployment.check_keys();
    print(prefix + "slot_overruns", double(totals["overruns"]), "count");
    print(prefix + "doubled", double(keys.doubled), "count");
    print(prefix + "false_not_run", double(keys.false_not_run), "count");
    print(prefix + "mixed_answers", mixed, "count");
    print(prefix + "confirmations", double(keys.confirmations), "count");
    print(prefix + "late_work_at_leaving", double(totals["late_work"]), "count");
    print(prefix + "cut_by_stop", double(totals["cut_at_exit"] + bad_exits), "count");
}

} // namespace bench
