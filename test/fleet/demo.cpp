/// \file
/// Runs an example deployment under calm load and then under an archive flood, and prints the
/// outcomes of each service and kind. Exits non-zero when an invariant was violated.
#include "arguments.hpp"
#include "fleet.hpp"

#include <iomanip>
#include <iostream>

namespace
{
using fleet_test::fleet;
namespace json = boost::json;

std::vector<std::string> to_strings(json::value const& array)
{
    std::vector<std::string> out;
    for (auto const& item : array.as_array())
        out.emplace_back(item.as_string());
    return out;
}

std::uint64_t print_report(char const* title, json::object const& report)
{
    std::uint64_t mixed = 0;
    std::cout << title << "\n" << std::fixed << std::setprecision(1);
    for (auto const& field : report)
    {
        json::object const& row = field.value().as_object();
        mixed += row.at("mixed").to_number<std::uint64_t>();
        std::cout << "  " << std::left << std::setw(22) << std::string(field.key()) << std::right
                  << " sent " << std::setw(6) << row.at("sent").to_number<std::uint64_t>()
                  << "  answered " << std::setw(6) << row.at("answered").to_number<std::uint64_t>()
                  << "  not run " << std::setw(6) << row.at("not_run").to_number<std::uint64_t>()
                  << "  unknown " << std::setw(4) << row.at("unknown").to_number<std::uint64_t>()
                  << "  failed " << std::setw(4) << row.at("failed").to_number<std::uint64_t>()
                  << "  p50 " << std::setw(7) << row.at("p50_ms").to_number<double>() << " ms  p99 "
                  << std::setw(7) << row.at("p99_ms").to_number<double>() << " ms\n";
    }
    return mixed;
}

} // namespace

int main(int argc, char** argv)
{
    standin::arguments const given(argc, argv);
    fleet_test::fleet_options options;
    options.example_folder = given.text("example", "examples/harvesters");
    options.binary_folder = given.text("binaries", "build");
    options.work_folder = given.text("work", "run/demo");
    options.policy = given.text("policy", "ranked");
    double const phase_s = given.number("phase-s", 5);
    fleet cluster(options);
    std::cout << "starting " << cluster.controls() << " control hosts, " << cluster.entries()
              << " entry hosts and the stand-in upstreams\n";
    if (!cluster.start())
    {
        std::cerr << "the deployment did not become ready; logs are in " << options.work_folder
                  << "\n";
        return 1;
    }
    auto const calm = to_strings(cluster.deployment().at("calm_load"));
    auto const flood = to_strings(cluster.deployment().at("flood_load"));
    cluster.start_load("calm", calm, phase_s, 1);
    std::uint64_t mixed = print_report("calm load:", cluster.await_load("calm"));
    cluster.start_load("work", calm, phase_s, 2);
    cluster.start_load("flood", flood, phase_s, 3);
    mixed += print_report("archive flood, regular load:", cluster.await_load("work"));
    mixed += print_report("archive flood, flood load:", cluster.await_load("flood"));
    std::cout << cluster.tool({"status"}) << cluster.tool({"report", "burn"});
    unsigned const bad_exits = cluster.stop_gracefully();
    auto totals = cluster.upstream_totals();
    auto const keys = cluster.check_keys();
    std::cout << "slots overrun " << totals["overruns"] << ", keys doubled " << keys.doubled
              << ", false \"not run\" " << keys.false_not_run << ", mixed answers " << mixed
              << ", late work at leaving upstreams " << totals["late_work"]
              << ", work cut by stops " << totals["cut_at_exit"] << ", bad exits " << bad_exits
              << ", of " << keys.confirmations << " confirmations\n";
    bool const held = totals["overruns"] == 0 && keys.doubled == 0 && keys.false_not_run == 0 &&
                      mixed == 0 && totals["late_work"] == 0 && totals["cut_at_exit"] == 0 &&
                      bad_exits == 0;
    std::cout << (held ? "all invariants held\n" : "AN INVARIANT FAILED\n");
    return held ? 0 : 1;
}
