// Replaces the three seeds in the control group by spare control hosts, restarts all processes, and
// checks RECOVER: a quarter of the requests at least is served again.
#include "small_fleet.hpp"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <numeric>

namespace
{

constexpr unsigned first_controls = 5;
constexpr unsigned all_controls = 10;
constexpr unsigned seeds = 3;
constexpr unsigned per_s = 50;
constexpr double down_s = 4;
/// Within the `down_s` of the site's `kill_all`, 0.81.
constexpr double process_down_s = 0.8;
constexpr double recovery_s = 15;
constexpr double judged_s = 8;
constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

struct share
{
    std::size_t sent = 0;
    std::size_t served = 0;
};

share served_between(standin::platform_caller const& caller, guavashed::instant from,
                     guavashed::instant to)
{
    share out;
    for (auto const& [id, call] : caller.calls())
    {
        if (call.at < from || call.at >= to)
            continue;
        ++out.sent;
        out.served += call.verified_response ? 1 : 0;
    }
    return out;
}

std::string text_of(share const& item)
{
    return std::to_string(item.served) + " of " + std::to_string(item.sent) + " requests served";
}

std::vector<unsigned> first_hosts(unsigned count)
{
    std::vector<unsigned> out(count);
    std::iota(out.begin(), out.end(), 0U);
    return out;
}

int run(review::fleet_options const& options, bool trouble)
{
    using guavashed::instant;
    using review::pause_s;
    review::small_fleet fleet(options);
    fleet.record(trouble ? "with the disruption" : "TROUBLE=0: the seeds are not killed");
    for (unsigned i = 0; i < first_controls; ++i)
        fleet.start_control(i, true);
    for (unsigned i = 0; i < options.entries; ++i)
        fleet.start_entry(i);
    if (!fleet.configure(first_hosts(first_controls), 10))
        return not_run;
    for (unsigned i = 0; i < options.upstreams; ++i)
        fleet.start_upstream(i);
    if (!fleet.wait_ready(10))
        return not_run;

    // Machines are added (add_nodes).
    for (unsigned i = first_controls; i < all_controls; ++i)
        fleet.start_control(i, false);
    pause_s(3);
    // One at a time is without power (node_kill), and back for longer than sync_s before the next.
    for (unsigned i = 0; i < seeds; ++i)
    {
        if (trouble)
            fleet.kill(review::small_fleet::control(i));
        pause_s(down_s);
        if (trouble)
            fleet.start_control(i, false);
        pause_s(5);
    }
    standin::platform_caller caller(fleet.caller_settings(all_controls, per_s));
    caller.start();
    pause_s(1);
    instant const before_from = instant::clock::now();
    pause_s(4);
    instant const before_to = instant::clock::now();
    if (!fleet.configure(first_hosts(all_controls), 5))
        return not_run;

    // The final fault: all processes are killed.
    for (unsigned i = 0; i < all_controls; ++i)
        fleet.kill(review::small_fleet::control(i));
    for (unsigned i = 0; i < options.entries; ++i)
        fleet.kill(review::small_fleet::entry(i));
    pause_s(process_down_s);
    for (unsigned i = 0; i < all_controls; ++i)
        fleet.start_control(i, false);
    for (unsigned i = 0; i < options.entries; ++i)
        fleet.start_entry(i);
    pause_s(recovery_s);
    instant const after_from = instant::clock::now();
    pause_s(judged_s);
    instant const after_to = instant::clock::now();
    unsigned reads = 0;
    for (unsigned i = 0; i < all_controls; ++i)
        reads += fleet.read_config(i) == 200 ? 1 : 0;
    for (unsigned i = 0; i < options.entries; ++i)
        fleet.record("readiness of " + review::small_fleet::entry(i) + ": " +
                     std::to_string(fleet.readiness(i)));
    caller.finish();

    share const before = served_between(caller, before_from, before_to);
    share const after = served_between(caller, after_from, after_to);
    fleet.record("before the final fault: " + text_of(before));
    fleet.record("later than recovery_s after it: " + text_of(after));
    fleet.record(std::to_string(reads) + " of the control hosts gave the configuration");
    if (before.sent == 0 || before.served * 4 < before.sent || after.sent == 0)
        return not_run;
    return after.served * 4 < after.sent ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: seeds-outside BINARY WORK_FOLDER RECORD\n";
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
        options.announced_to = first_hosts(all_controls);
        return run(options, trouble == nullptr || std::string(trouble) != "0");
    }
    catch (std::exception const& failure)
    {
        std::cerr << failure.what() << "\n";
        return not_run;
    }
}
