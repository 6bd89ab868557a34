/// \file
/// Randomised fault injection run of the platform daemon as real processes. Injects sequential and
/// overlapping faults and changes: signals, deleted data directories, relay faults, configuration
/// changes, changes of keys, evacuations. Checks the invariants from the records of callers,
/// upstreams and the operator. The same seed draws the same faults. Exits with 1 when an invariant
/// was violated or the fleet did not start, and with 2 when the run could not be completed.
#include "arguments.hpp"
#include "platform_faults.hpp"
#include "platform_invariants.hpp"

#include <iostream>
#include <thread>

namespace
{
using namespace fleet_test;

/// Within which an acknowledged configuration is in force.
constexpr std::chrono::milliseconds config_apply{2500};
constexpr double calls_per_s = 120;

int run(standin::arguments const& given)
{
    platform_fleet_options options;
    options.work_folder = given.text("work", "run/platform-soak");
    options.binary = given.text("binaries", "build") + "/guavashed-platform";
    options.base_port = static_cast<unsigned>(given.number("base-port", 24000));
    options.entries = static_cast<unsigned>(given.number("entries", 4));
    options.spare_controls = static_cast<unsigned>(given.number("spares", 0));
    options.upstreams = static_cast<unsigned>(given.number("upstreams", 8));
    options.seed = static_cast<std::uint64_t>(given.number("seed", 1));
    options.unanswered_share = 0.02;
    options.pausing_upstreams = 2;
    options.pause_share = 0.01;
    options.relays = true;
    double const duration_s = given.number("duration-s", 30);
    workspace_keys keys(options.seed);
    options.tenants = keys.table();
    options.extra_bounds = keys.settings();
    std::cout << "seed " << options.seed << ", " << duration_s << " s" << keys.settings() << "\n";
    platform_fleet fleet(options);
    if (!fleet.start())
    {
        std::cout << "the fleet did not start\n";
        return 1;
    }
    standin::platform_caller caller(fleet.caller_settings(calls_per_s, options.seed));
    caller.set_keys(keys.offered());
    caller.start();
    fault_source faults(fleet, caller, keys, options.seed);
    auto const until = steady::now() + std::chrono::milliseconds(int(duration_s * 1000));
    while (steady::now() < until)
    {
        faults.step();
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
    }
    faults.finish();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    caller.finish();
    std::vector<std::string> violations = faults.violations();
    if (!fleet.configure(fleet.accepted_version() + 1, 15))
        violations.push_back(
            "no configuration was accepted within 15 s after all faults had ended");
    faults.check_version();
    std::this_thread::sleep_for(config_apply);
    std::string const newest = " version=" + std::to_string(fleet.accepted_version()) + " ";
    for (unsigned i = 0; i < options.entries; ++i)
        if (fleet.log_of(fleet.entry_name(i)).find(newest) == std::string::npos)
            violations.push_back(fleet.entry_name(i) + " has no view with the configuration" +
                                 newest + "that was accepted after all faults had ended");
    auto const report = check_invariants(caller.calls(), fleet.records());
    violations.insert(violations.end(), report.violations.begin(), report.violations.end());
    auto const statements = check_statements(caller.calls(), fleet.records(), faults.disturbed());
    violations.insert(violations.end(), statements.begin(), statements.end());
    keys.check(caller.calls(), fleet.records(), violations);
    std::cout << to_string(report.counts) << "\n";
    for (auto const& violation : violations)
        std::cout << "BROKEN: " << violation << "\n";
    std::cout << (violations.empty() ? "all promises held\n" : "A PROMISE BROKE\n");
    return violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(standin::arguments(argc, argv));
    }
    catch (std::exception const& problem)
    {
        // The run itself failed, so the invariants were not checked.
        std::cout << "not finished: " << problem.what() << "\n";
        return 2;
    }
}
