// Adds machines to the core, lets the others lose power one at a time, the leader last, and checks
// CONFIG and DRAIN at gateways that were not disturbed.
#include "small_fleet.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <vector>

namespace
{

constexpr unsigned first_controls = 5;
/// The added control hosts, whose addresses come after those of the first ones.
constexpr unsigned first_added = 10;
constexpr double down_s = 4;
constexpr double settle_s = 5;
/// Longer than contact_ms and config_apply_ms together.
constexpr double quiet_s = 8;
constexpr double config_apply_s = 2.5;
constexpr double judged_s = 10;
constexpr guavashed::milliseconds drain_ms{2500};
constexpr unsigned per_s = 50;
constexpr unsigned draining_upstream = 0;
constexpr unsigned served = 200;
constexpr unsigned not_found = 404;
constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

/// The first control hosts, the leader last.
std::vector<unsigned> leader_last(review::small_fleet& fleet)
{
    std::vector<unsigned> out;
    for (unsigned i = 0; i < first_controls; ++i)
        out.push_back(i);
    std::stable_partition(out.begin(), out.end(), [&](unsigned i) { return !fleet.leads(i); });
    return out;
}

int run(review::fleet_options const& options, bool trouble)
{
    using review::pause_s;
    using review::small_fleet;
    small_fleet fleet(options);
    fleet.record(trouble ? "with the disruption" : "TROUBLE=0: no control host is killed");
    std::vector<unsigned> all;
    for (unsigned i = 0; i < first_controls; ++i)
    {
        all.push_back(i);
        fleet.start_control(i, true);
    }
    for (unsigned i = 0; i < options.entries; ++i)
        fleet.start_entry(i);
    if (!fleet.configure(all, 10) || !fleet.wait_ready(10))
        return not_run;
    for (unsigned i = 0; i < options.upstreams; ++i)
        fleet.start_upstream(i);
    pause_s(3);

    // Machines are added (add_nodes).
    for (unsigned i = 0; i < first_controls; ++i)
    {
        all.push_back(first_added + i);
        fleet.start_control(first_added + i, false);
    }
    pause_s(settle_s);
    // One at a time is without power (node_kill), and back for longer than sync_s before the next.
    auto const order = leader_last(fleet);
    for (unsigned const i : order)
    {
        if (trouble)
            fleet.kill(small_fleet::control(i));
        pause_s(down_s);
        if (trouble)
            fleet.start_control(i, false);
        pause_s(settle_s);
    }
    pause_s(quiet_s - settle_s);

    // No disruption from here on: all control hosts run, and no gateway was disturbed.
    standin::platform_caller caller(fleet.caller_settings(first_controls, per_s));
    caller.start();
    for (unsigned i = 0; i < options.entries; ++i)
        if (fleet.request(i, "/check/before") != served)
            return not_run;
    fleet.drain_upstream(draining_upstream);
    fleet.change_routes();
    if (!fleet.configure(all, 10))
        return not_run;
    pause_s(config_apply_s + 1);
    unsigned stale = 0;
    unsigned probes = 0;
    double const until = fleet.seconds() + judged_s;
    while (fleet.seconds() < until)
    {
        for (unsigned i = 0; i < options.entries; ++i)
        {
            probes += 2;
            stale += fleet.request(i, "/added/x") == not_found ? 1 : 0;
            stale += fleet.request(i, "/confirm/x") == served ? 1 : 0;
        }
        pause_s(1);
    }
    caller.finish();

    auto const record = fleet.upstream_record(draining_upstream);
    std::size_t late = 0;
    if (record.drain_acknowledged)
        late = static_cast<std::size_t>(
            std::count_if(record.arrivals.begin(), record.arrivals.end(),
                          [&](auto const& arrival)
                          { return arrival.at > *record.drain_acknowledged + drain_ms; }));
    fleet.record(std::to_string(stale) + " of " + std::to_string(probes) +
                 " probes handled as only the older configuration allows");
    fleet.record(std::string("drain of the back end acknowledged: ") +
                 (record.drain_acknowledged ? "yes" : "no") +
                 ", requests that reached it later "
                 "than drain_ms after that: " +
                 std::to_string(late));
    return stale > 0 || late > 0 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: entries-stranded BINARY WORK_FOLDER RECORD\n";
        return not_run;
    }
    review::end_on_signals();
    char const* const trouble = std::getenv("TROUBLE");
    try
    {
        review::fleet_options options;
        options.binary = argv[1];
        options.work_folder = argv[2];
        options.record_path = argv[3];
        for (unsigned i = 0; i < first_controls; ++i)
            options.announced_to.push_back(first_added + i);
        return run(options, trouble == nullptr || std::string(trouble) != "0");
    }
    catch (std::exception const& failure)
    {
        std::cerr << failure.what() << "\n";
        return not_run;
    }
}
