/// \file
/// Long randomised fault injection run of an example deployment: processes are killed, frozen,
/// restarted and lose their disks while callers send requests. Exits non-zero when an invariant was
/// violated.
#include "arguments.hpp"
#include "fleet.hpp"

#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <random>
#include <thread>

namespace
{
using fleet_test::fleet;
namespace json = boost::json;
using steady = std::chrono::steady_clock;

/// Injects random faults one after another; the same seed draws the same faults.
class fault_source
{
public:
    fault_source(fleet& cluster, std::uint64_t seed) : cluster_(cluster), random_(seed) {}

    void step()
    {
        revive();
        switch (random_() % 5)
        {
        case 0:
            kill_entry();
            break;
        case 1:
            kill_control(false);
            break;
        case 2:
            kill_control(true);
            break;
        case 3:
            freeze_entry();
            break;
        default:
            kill_upstreams();
            break;
        }
    }

    /// Restarts all processes that are not running.
    void revive()
    {
        for (unsigned i = 0; i < cluster_.entries(); ++i)
            if (!cluster_.running(cluster_.entry_name(i)))
                cluster_.start_entry(i);
        for (unsigned i = 0; i < cluster_.controls(); ++i)
            if (!cluster_.running(cluster_.control_name(i)))
                cluster_.start_control(i);
        for (unsigned i = 0; i < cluster_.upstream_groups(); ++i)
            if (!cluster_.running(cluster_.group_name(i)))
                cluster_.start_upstreams(i);
    }

private:
    void kill(std::string const& process)
    {
        std::cout << "kill " << process << "\n";
        cluster_.signal(process, SIGKILL);
        cluster_.await(process);
    }
    void kill_entry() { kill(cluster_.entry_name(random_() % cluster_.entries())); }
    void kill_control(bool lose_disk)
    {
        unsigned const i = random_() % cluster_.controls();
        kill(cluster_.control_name(i));
        if (!lose_disk)
            return;
        std::cout << "lose the disk of " << cluster_.control_name(i) << "\n";
        std::filesystem::remove_all(cluster_.data_folder(i));
    }
    void freeze_entry()
    {
        std::string const name = cluster_.entry_name(random_() % cluster_.entries());
        std::cout << "freeze " << name << "\n";
        cluster_.signal(name, SIGSTOP);
        std::this_thread::sleep_for(std::chrono::seconds(3));
        cluster_.signal(name, SIGCONT);
    }
    void kill_upstreams() { kill(cluster_.group_name(random_() % cluster_.upstream_groups())); }

    fleet& cluster_;
    std::mt19937_64 random_;
};

std::uint64_t mixed_answers(json::object const& report)
{
    std::uint64_t sum = 0;
    for (auto const& field : report)
        sum += field.value().as_object().at("mixed").to_number<std::uint64_t>();
    return sum;
}

} // namespace

int main(int argc, char** argv)
{
    standin::arguments const given(argc, argv);
    fleet_test::fleet_options options;
    options.example_folder = given.text("example", "examples/harvesters");
    options.binary_folder = given.text("binaries", "build");
    options.work_folder = given.text("work", "run/soak");
    options.base_port = 29'000;
    options.seed = static_cast<std::uint64_t>(given.number("seed", 1));
    double const duration_s = given.number("duration-s", 60);
    std::cout << "seed " << options.seed << ", " << duration_s << " s\n";
    fleet cluster(options);
    if (!cluster.start())
        return 1;
    cluster.start_load("load", {"roster/confirm=600:3000:keyed", "roster/check=150:3000"},
                       duration_s, options.seed);
    fault_source faults(cluster, options.seed);
    auto const until = steady::now() + std::chrono::milliseconds(int(duration_s * 1000));
    while (steady::now() + std::chrono::seconds(6) < until)
    {
        faults.step();
        std::this_thread::sleep_for(std::chrono::seconds(4));
    }
    faults.revive();
    json::object const report = cluster.await_load("load");
    std::cout << json::serialize(report) << "\n";
    auto const keys = cluster.check_keys();
    cluster.stop_gracefully();
    auto totals = cluster.upstream_totals();
    std::uint64_t const mixed = mixed_answers(report);
    std::cout << "confirmations " << keys.confirmations << ", doubled " << keys.doubled
              << ", false \"not run\" " << keys.false_not_run << ", answered but not run "
              << keys.answered_not_run << ", mixed " << mixed << ", overruns " << totals["overruns"]
              << ", late work " << totals["late_work"] << "\n";
    bool const held = keys.doubled == 0 && keys.false_not_run == 0 && keys.answered_not_run == 0 &&
                      mixed == 0 && totals["overruns"] == 0 && totals["late_work"] == 0;
    std::cout << (held ? "all invariants held\n" : "AN INVARIANT FAILED\n");
    return held ? 0 : 1;
}
