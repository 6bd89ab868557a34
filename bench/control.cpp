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

constexpr int steady_changes = 150;
constexpr int leader_kills = 8;
constexpr int catch_up_changes = 1000;
constexpr std::chrono::seconds idle_time{10};

double ms_since(instant start)
{
    return std::chrono::duration<double, std::milli>(instant::clock::now() - start).count();
}

/// Plans and confirms configuration changes through the operators' interface.
class change_client
{
public:
    explicit change_client(fleet& deployment)
        : deployment_(deployment),
          client_(ports(deployment.operators()), "operator-key-for-loopback")
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
    std::optional<double> await_in_force(std::uint64_t version, instant start, double limit_ms)
    {
        while (ms_since(start) < limit_ms)
        {
            auto const body = client_.ask_control("GET", "/v1/status");
            json::value const status_json =
                body ? json::parse(body.value().body) : json::value(json::object());
            if (status_json.as_object().contains("in_force"))
                for (auto const& row : status_json.as_object().at("in_force").as_array())
                    if (row.as_object().at("version").to_number<std::uint64_t>() >= version)
                        return ms_since(start);
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return std::nullopt;
    }

    /// Name of the leader, empty while there is none.
    std::string leader()
    {
        json::object const status_json = deployment_.status();
        return status_json.contains("leader") ? std::string(status_json.at("leader").as_string())
                                              : std::string();
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

    fleet& deployment_;
    operator_client client_;
    json::object intent_;
    int count_ = 0;
};

/// The value below which `share` of the values lie; -1 when there are none.
double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return -1;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * double(values.size() - 1))];
}

/// Value of a metric of an entry host; -1 when it can't be read.
double metric(fleet& deployment, unsigned entry, std::string const& name)
{
    operator_client client({}, "operator-key-for-loopback");
    auto const answer =
        client.ask(endpoint_text(deployment.entry_operator_address(entry)), "GET", "/metrics");
    if (!answer)
        return -1;
    std::istringstream lines(answer.value().body);
    for (std::string line; std::getline(lines, line);)
        if (line.starts_with(name + " "))
            return std::stod(line.substr(name.size() + 1));
    return -1;
}

/// Measures what control costs an entry host while nothing changes.
void measure_idle(fleet& deployment, std::string const& suffix)
{
    pid_t const process = deployment.process_id(deployment.entry_name(0));
    double const cpu = processor_seconds(process);
    double const bytes = metric(deployment, 0, "guavashed_entry_control_bytes_total");
    std::this_thread::sleep_for(idle_time);
    double const seconds = std::chrono::duration<double>(idle_time).count();
    print("control_core_pct" + suffix, (processor_seconds(process) - cpu) / seconds * 100, "%");
    print("control_memory_mb" + suffix, resident_mb(process), "MB");
    print("control_bytes_per_s" + suffix,
          (metric(deployment, 0, "guavashed_entry_control_bytes_total") - bytes) / seconds, "B/s");
}

/// Measures how long a change takes from its confirmation until it is in force. Each version must
/// be higher than those before.
void measure_in_force(change_client& change_tool, std::string const& suffix)
{
    std::vector<double> times;
    std::uint64_t last = 0;
    double lost = 0;
    for (int i = 0; i < steady_changes; ++i)
    {
        std::string const plan = change_tool.plan();
        instant const start = instant::clock::now();
        std::uint64_t const version = change_tool.confirm(plan);
        if (version <= last)
            ++lost;
        last = std::max(last, version);
        if (auto const ms = change_tool.await_in_force(version, start, 10'000))
            times.push_back(*ms);
    }
    print("in_force_p99_s" + suffix, quantile(times, 0.99) / 1000, "s");
    print("in_force_worst_s" + suffix, quantile(times, 1) / 1000, "s");
    print("in_force_seen" + suffix, double(times.size()) / steady_changes, "share");
    print("changes_refused_or_back" + suffix, lost, "count");
}

/// Kills the leader up to 19 ms after a plan is sent, and confirms that plan and a further one.
/// Each must be accepted, once only and with rising versions.
void measure_leader_kill(fleet& deployment, change_client& change_tool, std::string const& suffix)
{
    std::mt19937_64 random(11);
    std::vector<double> in_force;
    std::vector<double> failover;
    double lost = 0;
    double doubled = 0;
    for (int i = 0; i < leader_kills; ++i)
    {
        std::string const leader = change_tool.leader();
        std::string const plan = change_tool.plan();
        if (leader.empty() || plan.empty())
            continue;
        instant const start = instant::clock::now();
        std::thread killer(
            [&, pause = random() % 20]
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(pause));
                deployment.signal(leader, SIGKILL);
            });
        std::uint64_t const version = change_tool.confirm(plan);
        killer.join();
        std::string const next = change_tool.plan();
        std::uint64_t const after = change_tool.confirm(next);
        failover.push_back(ms_since(start));
        if (auto const ms = change_tool.await_in_force(version, start, 20'000))
            in_force.push_back(*ms);
        if (version == 0 || after <= version)
            ++lost;
        // An operation is idempotent: confirming its plan again must return the first version.
        if (change_tool.confirm(plan) != version)
            ++doubled;
        deployment.await(leader);
        deployment.start_control(static_cast<unsigned>(std::stoul(leader.substr(1))));
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    }
    print("in_force_leader_kill_worst_s" + suffix, quantile(in_force, 1) / 1000, "s");
    print("failover_p99_s" + suffix, quantile(failover, 0.99) / 1000, "s");
    print("lost_changes" + suffix, lost, "count");
    print("double_answers" + suffix, doubled, "count");
}

/// Measures how long a follower with an empty disk takes from its start until it votes and its log
/// reaches the commit index, after `catch_up_changes` changes made without it.
void measure_catch_up(fleet& deployment, change_client& change_tool, std::string const& suffix)
{
    std::string const leader = change_tool.leader();
    unsigned victim = 0;
    while (deployment.control_name(victim) == leader)
        ++victim;
    std::string const name = deployment.control_name(victim);
    deployment.signal(name, SIGKILL);
    deployment.await(name);
    std::filesystem::remove_all(deployment.data_folder(victim));
    for (int i = 0; i < catch_up_changes; ++i)
        change_tool.confirm(change_tool.plan());
    deployment.start_control(victim);
    instant const start = instant::clock::now();
    double caught_up = -1;
    while (ms_since(start) < 20'000 && caught_up < 0)
    {
        json::object const status_json = deployment.status();
        if (status_json.contains("members") && status_json.at("leader").as_string() != "")
            for (auto const& member : status_json.at("members").as_array())
                if (member.as_object().at("host").as_string() == name &&
                    member.as_object().at("votes").as_bool() &&
                    member.as_object().contains("match") &&
                    member.as_object().at("match").to_number<std::uint64_t>() >=
                        status_json.at("commit_index").to_number<std::uint64_t>())
                    caught_up = ms_since(start);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    print("catch_up_s" + suffix, caught_up / 1000, "s");
}

} // namespace

// With other than 3 control hosts, the names of the figures end in the number of control hosts.
void run_control(bench_paths const& where, unsigned controls)
{
    std::string const suffix = controls == 3 ? "" : "_" + std::to_string(controls);
    fleet_test::fleet_options options;
    options.example_folder = where.examples + "/harvesters";
    options.binary_folder = where.binaries;
    options.work_folder = where.work + "/control" + std::to_string(controls);
    options.controls = controls;
    fleet deployment(options);
    if (!deployment.start())
    {
        std::cerr << "the deployment with " << controls
                  << " control hosts did not start; logs are in " << options.work_folder << "\n";
        return;
    }
    change_client change_tool(deployment);
    measure_idle(deployment, suffix);
    measure_in_force(change_tool, suffix);
    measure_leader_kill(deployment, change_tool, suffix);
    measure_catch_up(deployment, change_tool, suffix);
    print("bad_exits_after_faults" + suffix, deployment.stop_gracefully(), "count");
}

} // namespace bench
