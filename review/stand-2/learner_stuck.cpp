// Replaces machines of the core one after the other, while another one restarts, and checks CONFIG:
// the acknowledged configuration can be read back.
#include "small_fleet.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace
{

constexpr unsigned controls = 5;
/// Restarts in each round: the last of the first control hosts.
constexpr unsigned restarting = 4;
/// Rounds in which one control host restarts while another is replaced.
constexpr unsigned rounds = 5;
constexpr unsigned later_replacements = 2;
/// The successors' numbers, whose addresses come before that of the restarting host.
constexpr unsigned first_successor = 90;
/// Each host that is back has this long before the next is lost; more than sync_s.
constexpr double settle_s = 7;
constexpr double read_s = 8;
constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

/// Three hosts of the operator's list, as the platform writes them into settings.
std::vector<unsigned> seeds_of(std::vector<unsigned> const& running)
{
    constexpr std::ptrdiff_t count = 3;
    return {running.begin(), running.begin() + count};
}

int run(review::fleet_options const& options, bool trouble)
{
    using review::pause_s;
    using review::small_fleet;
    small_fleet fleet(options);
    fleet.record(trouble ? "with the disruption" : "TROUBLE=0: no host restarts");
    std::vector<unsigned> running;
    for (unsigned i = 0; i < controls; ++i)
    {
        running.push_back(i);
        fleet.start_control(i, true);
    }
    for (unsigned i = 0; i < options.entries; ++i)
        fleet.start_entry(i);
    if (!fleet.configure(running, 10) || !fleet.wait_ready(10))
        return not_run;
    for (unsigned i = 0; i < options.upstreams; ++i)
        fleet.start_upstream(i);
    pause_s(2);

    unsigned successor = first_successor;
    // node_kill of one control host, which is down for 3.3 s, and replace_core of another, whose
    // successor starts 2 s after it is gone.
    for (unsigned round = 0; round < rounds; ++round)
    {
        unsigned const gone = running.front();
        if (trouble)
            fleet.kill(small_fleet::control(restarting));
        pause_s(1.2);
        fleet.kill(small_fleet::control(gone));
        running.erase(running.begin());
        pause_s(2);
        fleet.set_seeds(seeds_of(running));
        fleet.start_control(successor, false);
        running.insert(std::find(running.begin(), running.end(), restarting), successor++);
        pause_s(0.1);
        if (trouble)
            fleet.start_control(restarting, false);
        pause_s(settle_s);
    }
    if (!fleet.configure(running, 5))
        fleet.record("no host acknowledges a configuration any more");
    for (unsigned i = 0; i < later_replacements; ++i)
    {
        fleet.kill(small_fleet::control(running.front()));
        running.erase(running.begin());
        pause_s(2);
        fleet.set_seeds(seeds_of(running));
        fleet.start_control(successor, false);
        running.insert(std::find(running.begin(), running.end(), restarting), successor++);
        pause_s(settle_s);
    }

    // All five hosts run; the operator reads for longer than contact_ms.
    double const until = fleet.seconds() + read_s;
    bool found = false;
    while (!found && fleet.seconds() < until)
    {
        for (unsigned const i : running)
            found = found || fleet.read_config(i) == 200;
        pause_s(0.2);
    }
    bool const changed = fleet.configure(running, 5);
    fleet.record(std::string("read back: ") + (found ? "yes" : "no") +
                 ", a further change acknowledged: " + (changed ? "yes" : "no"));
    return found ? held : broken;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: learner-stuck BINARY WORK_FOLDER RECORD\n";
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
        options.entries = 2;
        options.upstreams = 2;
        return run(options, trouble == nullptr || std::string(trouble) != "0");
    }
    catch (std::exception const& failure)
    {
        std::cerr << failure.what() << "\n";
        return not_run;
    }
}
