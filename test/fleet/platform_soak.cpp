/// \file
/// Randomised fault injection run of the platform daemon as real processes. Injects sequential and
/// overlapping faults and changes: signals, deleted data directories, relay faults, configuration
/// changes, changes of keys, evacuations. Checks the invariants from the records of callers,
/// upstreams and the operator. The same seed draws the same faults. Exits with 1 when an invariant
/// was violated or the fleet did not start, and with 2 when the run could not be completed.
#include "arguments.hpp"
#include "platform_faults.hpp"
#include "platform_invariants.hpp"
#include "slow_downloads.hpp"

#include <iostream>
#include <thread>

namespace
{
using namespace fleet_test;

/// Within which an acknowledged configuration is in force.
constexpr std::chrono::milliseconds config_apply{2500};
constexpr double calls_per_s = 120;
/// Some seconds for a slow reader, and longer than the buffers of the sockets in between.
constexpr std::size_t file_bytes = 3 * 1024 * 1024;
/// Memory of a host of the platform.
constexpr std::size_t memory_mb = 256;

/// Most resident memory that the process has had, in megabytes; 0 when it isn't running.
std::size_t peak_memory_mb(pid_t process)
{
    std::string const status = read_file("/proc/" + std::to_string(process) + "/status");
    std::string const key = "VmHWM:";
    auto const at = status.find(key);
    return at == std::string::npos ? 0 : std::stoul(status.substr(at + key.size())) / 1024;
}

/// Sums up the downloads, and returns the highest peak of the entry hosts' memory.
std::size_t report_downloads(platform_fleet& fleet, slow_downloads const& downloads)
{
    std::size_t peak = 0;
    for (unsigned i = 0; i < fleet.options().entries; ++i)
        peak = std::max(peak, peak_memory_mb(fleet.processes().id_of(fleet.entry_name(i))));
    auto const whole = std::count_if(downloads.calls().begin(), downloads.calls().end(),
                                     [](auto const& item) { return item.second.status == 200; });
    std::cout << "downloads " << downloads.calls().size() << ", whole " << whole
              << ", an entry host's memory at its peak " << peak << " MB\n";
    return peak;
}

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
    auto const readers = static_cast<unsigned>(given.number("slow-readers", 4));
    options.file_bytes = readers == 0 ? 0 : file_bytes;
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
    slow_download_settings reading{"roster.example", standin::file_prefix, {}, file_bytes,
                                   readers,          options.seed};
    for (unsigned i = 0; i < options.entries; ++i)
        reading.entries.push_back(fleet.entry_endpoint(i));
    slow_downloads downloads(reading);
    downloads.start();
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
    downloads.finish();
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
    auto calls = caller.calls();
    calls.insert(downloads.calls().begin(), downloads.calls().end());
    if (report_downloads(fleet, downloads) > memory_mb)
        violations.push_back("an entry host took more than " + std::to_string(memory_mb) + " MB");
    auto const report = check_invariants(calls, fleet.records());
    violations.insert(violations.end(), report.violations.begin(), report.violations.end());
    auto const statements = check_statements(calls, fleet.records(), faults.disturbed());
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
