// Measures control in a deployment of real processes: idle cost, changes, failover, catch-up.
#include "figures.hpp"
#include "fleet.hpp"
#include "process_cost.hpp"
#include "transport/operator_client.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace bench
{
namespace json = boost::json;
using namespace guavashed;
using fleet_test::fleet;

namespace
{

constexpr int plain_changes = 150;
constexpr int killed_changes = 8;
constexpr int bulk_changes = 1000;
constexpr std::chrono::seconds rest_time{10};

double ms_since(instant start)
{
    return std::chrono::duration<double, std::milli>(instant::clock::now() - start).count();
}

/// Plans and confirms configuration changes through the operators' interface.
class changer
{
public:
    explicit changer(fleet& night)
        : night_(night), client_(ports(night.operators()), "operator-key-for-loopback")
    {
        std::ifstream file(std::string(GUAVASHED_SOURCE_FOLDER) +
                           "/examples/harvesters/intent.json");
        std::ostringstream text;
        text << file.rdbuf();
        intent_ = json::parse(text.str()).as_object();
    }

    /// Plans the next change. Returns the plan as JSON text, or an empty text when control didn't
    /// answer with a plan, for example while there is no leader.
    std::string plan()
    {
        intent_["leaving_upstreams"] = json::array{"none-" + std::to_string(++count_)};
        json::object const request{{"operation", "bench-" + std::to_string(count_)},
                                   {"intent", intent_}};
        auto const answer = client_.ask_control("POST", "/v1/plan", json::serialize(request));
        return answer && answer.value().status == 200 ? answer.value().body : std::string();
    }

    /// Sends a plan until it is answered, 40 times at most. Returns the version accepted, or 0 when
    /// the plan was refused or not answered.
    std::uint64_t confirm(std::string const& plan)
    {
        for (int i = 0; i < 40; ++i)
        {
            auto const answer = client_.ask_control("POST", "/v1/confirm", plan);
            if (!answer)
                continue;
            if (answer.value().status != 200)
                return 0;
            return json::parse(answer.value().body)
                .as_object()
                .at("version")
                .to_number<std::uint64_t>();
        }
        return 0;
    }

    /// Polls the status until `version` or a later one is in force. Returns the milliseconds since
    /// `start`, or nothing when `limit_ms` has passed.
    std::optional<double> wait_in_force(std::uint64_t version, instant start, double limit_ms)
    {
        while (ms_since(start) < limit_ms)
        {
            auto const body = client_.ask_control("GET", "/v1/status");
            json::value const held =
                body ? json::parse(body.value().body) : json::value(json::object());
            if (held.as_object().contains("in_force"))
                for (auto const& row : held.as_object().at("in_force").as_array())
                    if (row.as_object().at("version").to_number<std::uint64_t>() >= version)
                        return ms_since(start);
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return std::nullopt;
    }

    /// Name of the leader, empty while there is none.
    std::string leader()
    {
        json::object const held = night_.status();
        return held.contains("leader") ? std::string(held.at("leader").as_string()) : std::string();
    }

private:
    /// Splits a comma-separated list of addresses.
    static std::vector<endpoint_text> ports(std::string const& list)
    {
        std::vector<endpoint_text> out;
        std::istringstream in(list);
        for (std::string item; std::getline(in, item, ',');)
            out.emplace_back(item);
        return out;
    }

    fleet& night_;
    operator_client client_;
    json::object intent_;
    int count_ = 0;
};

/// The value below which `share` of the values lie; -1 when there are none.
double at_share(std::vector<double> values, double share)
{
    if (values.empty())
        return -1;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * double(values.size() - 1))];
}

/// Value of a metric of an entry host; -1 when it can't be read.
double metric(fleet& night, unsigned entry, std::string const& name)
{
    operator_client client({}, "operator-key-for-loopback");
    auto const answer =
        client.ask(endpoint_text(night.entry_operator_address(entry)), "GET", "/metrics");
    if (!answer)
        return -1;
    std::istringstream lines(answer.value().body);
    for (std::string line; std::getline(lines, line);)
        if (line.starts_with(name + " "))
            return std::stod(line.substr(name.size() + 1));
    return -1;
}

/// Measures what control costs an entry host while nothing changes.
void measure_rest(fleet& night, std::string const& suffix)
{
    pid_t const process = night.process_id(night.entry_name(0));
    double const cpu = processor_seconds(process);
    double const bytes = metric(night, 0, "guavashed_entry_control_bytes_total");
    std::this_thread::sleep_for(rest_time);
    double const seconds = std::chrono::duration<double>(rest_time).count();
    print("control_core_pct" + suffix, (processor_seconds(process) - cpu) / seconds * 100, "%");
    print("control_memory_mb" + suffix, resident_mb(process), "MB");
    print("control_bytes_per_s" + suffix,
          (metric(night, 0, "guavashed_entry_control_bytes_total") - bytes) / seconds, "B/s");
}

/// Measures how long a change takes from its confirmation until it is in force. Each version must
/// be higher than those before.
void measure_in_force(changer& operators, std::string const& suffix)
{
    std::vector<double> times;
    std::uint64_t last = 0;
    double lost = 0;
    for (int i = 0; i < plain_changes; ++i)
    {
        std::string const plan = operators.plan();
        instant const start = instant::clock::now();
        std::uint64_t const version = operators.confirm(plan);
        if (version <= last)
            ++lost;
        last = std::max(last, version);
        if (auto const ms = operators.wait_in_force(version, start, 10'000))
            times.push_back(*ms);
    }
    print("in_force_p99_s" + suffix, at_share(times, 0.99) / 1000, "s");
    print("in_force_worst_s" + suffix, at_share(times, 1) / 1000, "s");
    print("in_force_seen" + suffix, double(times.size()) / plain_changes, "share");
    print("changes_refused_or_back" + suffix, lost, "count");
}

/// Kills the leader up to 19 ms after a plan is sent, and confirms that plan and a further one.
/// Each must be accepted, once only and with rising versions.
void measure_leader_kill(fleet& night, changer& operators, std::string const& suffix)
{
    std::mt19937_64 random(11);
    std::vector<double> in_force;
    std::vector<double> failover;
    double lost = 0;
    double doubled = 0;
    for (int i = 0; i < killed_changes; ++i)
    {
        std::string const leader = operators.leader();
        std::string const plan = operators.plan();
        if (leader.empty() || plan.empty())
            continue;
        instant const start = instant::clock::now();
        std::thread killer(
            [&, pause = random() % 20]
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(pause));
                night.signal(leader, SIGKILL);
            });
        std::uint64_t const version = operators.confirm(plan);
        killer.join();
        std::string const next = operators.plan();
        std::uint64_t const after = operators.confirm(next);
        failover.push_back(ms_since(start));
        if (auto const ms = operators.wait_in_force(version, start, 20'000))
            in_force.push_back(*ms);
        if (version == 0 || after <= version)
            ++lost;
        // An operation is idempotent: confirming its plan again must return the first version.
        if (operators.confirm(plan) != version)
            ++doubled;
        night.await(leader);
        night.start_control(static_cast<unsigned>(std::stoul(leader.substr(1))));
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    }
    print("in_force_leader_kill_worst_s" + suffix, at_share(in_force, 1) / 1000, "s");
    print("failover_p99_s" + suffix, at_share(failover, 0.99) / 1000, "s");
    print("lost_changes" + suffix, lost, "count");
    print("double_answers" + suffix, doubled, "count");
}

/// Measures how long a follower with an empty disk takes from its start until it votes and its log
/// reaches the commit index, after `bulk_changes` changes made without it.
void measure_catch_up(fleet& night, changer& operators, std::string const& suffix)
{
    std::string const leader = operators.leader();
    unsigned victim = 0;
    while (night.control_name(victim) == leader)
        ++victim;
    std::string const name = night.control_name(victim);
    night.signal(name, SIGKILL);
    night.await(name);
    std::filesystem::remove_all(night.data_folder(victim));
    for (int i = 0; i < bulk_changes; ++i)
        operators.confirm(operators.plan());
    night.start_control(victim);
    instant const start = instant::clock::now();
    double caught_up = -1;
    while (ms_since(start) < 20'000 && caught_up < 0)
    {
        json::object const held = night.status();
        if (held.contains("members") && held.at("leader").as_string() != "")
            for (auto const& member : held.at("members").as_array())
                if (member.as_object().at("host").as_string() == name &&
                    member.as_object().at("votes").as_bool() &&
                    member.as_object().contains("match") &&
                    member.as_object().at("match").to_number<std::uint64_t>() >=
                        held.at("commit_index").to_number<std::uint64_t>())
                    caught_up = ms_since(start);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    print("catch_up_s" + suffix, caught_up / 1000, "s");
}

} // namespace

// Figures of a deployment that hasn't 3 control hosts carry the number of hosts as suffix.
void run_control(places const& where, unsigned controls)
{
    std::string const suffix = controls == 3 ? "" : "_" + std::to_string(controls);
    fleet_test::fleet_options options;
    options.example_folder = where.examples + "/harvesters";
    options.binary_folder = where.binaries;
    options.work_folder = where.work + "/control" + std::to_string(controls);
    options.controls = controls;
    fleet night(options);
    if (!night.start())
    {
        std::cerr << "the deployment with " << controls
                  << " control hosts did not start; logs are in " << options.work_folder << "\n";
        return;
    }
    changer operators(night);
    measure_rest(night, suffix);
    measure_in_force(operators, suffix);
    measure_leader_kill(night, operators, suffix);
    measure_catch_up(night, operators, suffix);
    print("bad_exits_after_faults" + suffix, night.stop_gracefully(), "count");
}

} // namespace bench
