/// \file
/// Measures the cost of control at several numbers of entry hosts, fits a line to each cost, and
/// prints the table of docs/CAPACITY.md, extrapolated to the design size. Exits non-zero when a row
/// exceeds its limit or too few sizes could be measured.
#include "arguments.hpp"
#include "base/codec.hpp"
#include "control/configuration.hpp"
#include "control/control_state.hpp"
#include "control/fleet_messages.hpp"
#include "entry/steering_table.hpp"
#include "fleet.hpp"
#include "process_cost.hpp"
#include "transport/frame_link.hpp"
#include "transport/operator_client.hpp"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <random>

namespace
{
namespace json = boost::json;
using namespace guavashed;
using fleet_test::fleet;

constexpr std::size_t region_count = 17;
constexpr std::size_t site_count = 130;
constexpr double design_hosts = 1000;
constexpr std::size_t hosts_per_region = 59;
constexpr std::size_t frame_header_bytes = 24;
/// An idle session sends one frame header each way every two seconds.
constexpr double ping_bytes_per_s = 24;
constexpr double design_blocks = 130'000;
constexpr double design_changes_per_s = 2300.0 / 86'400;
constexpr double design_lookups_per_s = 840'000;
constexpr double design_control_hosts = 18;
constexpr double restarts_per_s = 190.0 / 86'400;
constexpr milliseconds presence_interval{500};
constexpr std::chrono::seconds settle_time{4};
constexpr std::chrono::seconds measure_time{8};
constexpr int changes = 20;

std::string region_text(std::size_t r)
{
    return "region" + std::to_string(r);
}
std::string site_text(std::size_t s)
{
    return "site" + std::to_string(s);
}

/// An intent of the design size, with all regions, sites and links. `change` makes each intent
/// differ from the one before.
json::object design_intent(int change)
{
    json::array regions;
    for (std::size_t r = 0; r < region_count; ++r)
    {
        json::array domains;
        for (std::size_t s = r; s < site_count; s += region_count)
            domains.emplace_back(site_text(s));
        regions.push_back(
            json::object{{"name", region_text(r)},
                         {"failure_domains", domains},
                         {"client_prefixes", json::array{"10." + std::to_string(r) + "."}},
                         {"slot_cap", 1000},
                         {"entry_hosts", 64}});
    }
    json::array links;
    for (std::size_t a = 0; a < region_count; ++a)
        for (std::size_t b = 0; b < region_count; ++b)
            if (a != b)
                links.push_back(json::object{{"from", region_text(a)},
                                             {"to", region_text(b)},
                                             {"bytes_per_second", 35'000'000}});
    json::array const kinds{
        json::object{{"name", "confirm"}, {"rank", "urgent"}, {"idempotent", false}},
        json::object{{"name", "check"}, {"rank", "normal"}}};
    return {{"services", json::array{json::object{{"name", "roster"}, {"kinds", kinds}},
                                     json::object{{"name", "archive"}, {"kinds", kinds}}}},
            {"regions", regions},
            {"links", links},
            {"leaving_upstreams", json::array{"none-" + std::to_string(change)}}};
}

/// Simulates the sessions between many entry hosts and control in one process. Each host sends its
/// presence periodically and acknowledges the configurations pushed to it.
class simulated_hosts : public frame_handler
{
public:
    simulated_hosts(event_loop& owner, std::vector<endpoint_text> controls, std::size_t count)
        : timer_(owner.context()), rows_(count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            host_row& row = rows_[i];
            row.host = host_name("n" + std::to_string(i));
            row.life = incarnation(1);
            // Each region has as many hosts as at the design size, since the traffic between an
            // entry host and control depends on the number of hosts in its region.
            std::size_t const region = i / hosts_per_region;
            row.region = region_name(region_text(region));
            row.domain = failure_domain_name(site_text(region + region_count * (i % 7)));
            row.caller_endpoint = endpoint_text("127.0.0.1:" + std::to_string(30'000 + i));
            row.peer_endpoint = endpoint_text("127.0.0.1:" + std::to_string(32'000 + i));
            row.operator_endpoint = endpoint_text("127.0.0.1:" + std::to_string(34'000 + i));
            row.phase = host_phase::serving;
            row.services = {{service_name("roster"), 12, 3, {}, 40'000},
                            {service_name("archive"), 12, 3, {}, 60'000}};
            links_.push_back(std::make_unique<frame_client>(
                owner, *this, frame_identity{row.host.value(), "cluster-key-for-loopback"},
                controls[i % controls.size()]));
        }
        boost::asio::post(owner.context(),
                          [this]
                          {
                              for (auto& link : links_)
                                  link->start();
                              send_presence();
                          });
    }

    void on_open(frame_session_ptr const&) override {}
    void on_close(frame_session_ptr const&) override {}
    void on_frame(frame_session_ptr const& session, frame&& item) override
    {
        received_ += item.payload.size() + frame_header_bytes;
        if (item.type != frame_type::configuration)
            return;
        auto push = decode<configuration_push>(item.payload, session->peer());
        if (!push)
            return;
        for (std::size_t h = 0; h < links_.size(); ++h)
            if (links_[h]->owns(*session) && rows_[h].version < push.value().version)
            {
                rows_[h].version = push.value().version;
                links_[h]->send(frame_type::presence, encode(rows_[h]));
            }
    }

    /// Bytes received and sent so far, frame headers included. Thread safe.
    std::uint64_t received() const { return received_; }
    std::uint64_t sent() const { return sent_; }

private:
    void send_presence()
    {
        for (std::size_t i = 0; i < links_.size(); ++i)
        {
            for (auto& load : rows_[i].services)
                load.in_flight = static_cast<std::uint16_t>(random_() % 12);
            std::string bytes = encode(rows_[i]);
            sent_ += bytes.size() + frame_header_bytes;
            links_[i]->send(frame_type::presence, std::move(bytes));
        }
        timer_.expires_after(presence_interval);
        timer_.async_wait(
            [this](boost::system::error_code code)
            {
                if (!code)
                    send_presence();
            });
    }

    boost::asio::steady_timer timer_;
    std::vector<host_row> rows_;
    std::vector<std::unique_ptr<frame_client>> links_;
    std::minstd_rand random_{7};
    std::atomic<std::uint64_t> received_{0};
    std::atomic<std::uint64_t> sent_{0};
};

/// Costs measured at one number of entry hosts.
struct sample
{
    double hosts = 0;
    double control_core_pct = 0;
    double control_mb = 0;
    double node_bytes_per_s = 0;
    double in_force_worst_s = 0;
};

/// A straight line that gives a cost for a number of hosts.
struct line
{
    double intercept = 0;
    double slope = 0;
    double at(double x) const { return intercept + slope * x; }
};

/// Fits a line to one field of the samples by least squares.
line fit(std::vector<sample> const& samples, double sample::*field)
{
    double n = 0, sx = 0, sy = 0, sxx = 0, sxy = 0;
    for (auto const& item : samples)
    {
        n += 1;
        sx += item.hosts;
        sy += item.*field;
        sxx += item.hosts * item.hosts;
        sxy += item.hosts * item.*field;
    }
    double const slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    return {(sy - slope * sx) / n, slope};
}

double seconds_of(std::chrono::seconds value)
{
    return std::chrono::duration<double>(value).count();
}

/// Makes `changes` changes in turn. Returns the longest time in seconds from confirmation until a
/// change is in force, or -1 when control didn't accept a change.
double slowest_change_s(operator_client& client)
{
    double worst = 0;
    for (int i = 0; i < changes; ++i)
    {
        json::object const request{
            {"operation", "capacity-" + std::to_string(std::random_device{}())},
            {"intent", design_intent(i)}};
        auto const plan = client.ask_control("POST", "/v1/plan", json::serialize(request));
        if (!plan || plan.value().status != 200)
            return -1;
        instant const start = instant::clock::now();
        auto const answer = client.ask_control("POST", "/v1/confirm", plan.value().body);
        if (!answer || answer.value().status != 200)
            return -1;
        json::value const accepted = json::parse(answer.value().body);
        auto const version = accepted.as_object().at("version").to_number<std::uint64_t>();
        bool seen = false;
        while (!seen && instant::clock::now() - start < std::chrono::seconds(10))
        {
            auto const status = client.ask_control("GET", "/v1/status");
            if (!status)
                continue;
            json::value const status_json = json::parse(status.value().body);
            for (auto const& row : status_json.as_object().at("in_force").as_array())
                seen = seen || row.as_object().at("version").to_number<std::uint64_t>() >= version;
        }
        worst =
            std::max(worst, std::chrono::duration<double>(instant::clock::now() - start).count());
    }
    return worst;
}

/// Measures 3 control hosts, real processes, with `hosts` simulated entry hosts. Of processor time
/// and memory, the control host with the highest figure counts. Returns nothing when a change was
/// not accepted.
std::optional<sample> measure(std::string const& binaries, std::string const& work,
                              std::size_t hosts)
{
    fleet_test::fleet_options options;
    options.example_folder = std::string(GUAVASHED_SOURCE_FOLDER) + "/examples/harvesters";
    options.binary_folder = binaries;
    options.work_folder = work + "/capacity";
    options.base_port = 28'000;
    options.controls = 3;
    fleet control(options);
    std::vector<endpoint_text> peers;
    std::vector<endpoint_text> operators;
    for (unsigned i = 0; i < 3; ++i)
    {
        control.start_control(i);
        peers.emplace_back("127.0.0.1:" + std::to_string(28'000 + i));
        operators.emplace_back("127.0.0.1:" + std::to_string(28'050 + i));
    }
    operator_client client(operators, "operator-key-for-loopback");
    // Returns when the control group has formed and a configuration of the design size is in force.
    slowest_change_s(client);
    event_loop owner("hosts");
    simulated_hosts simulated(owner, peers, hosts);
    std::this_thread::sleep_for(settle_time);
    std::vector<double> before;
    for (unsigned i = 0; i < 3; ++i)
        before.push_back(bench::processor_seconds(control.process_id(control.control_name(i))));
    std::uint64_t const bytes = simulated.received() + simulated.sent();
    std::this_thread::sleep_for(measure_time);
    sample out;
    out.hosts = static_cast<double>(hosts);
    for (unsigned i = 0; i < 3; ++i)
    {
        pid_t const process = control.process_id(control.control_name(i));
        double const used = bench::processor_seconds(process) - before[i];
        out.control_core_pct =
            std::max(out.control_core_pct, used / seconds_of(measure_time) * 100);
        out.control_mb = std::max(out.control_mb, bench::resident_mb(process));
    }
    out.node_bytes_per_s = static_cast<double>(simulated.received() + simulated.sent() - bytes) /
                           seconds_of(measure_time) / out.hosts;
    out.in_force_worst_s = slowest_change_s(client);
    owner.stop();
    std::printf("sample hosts=%zu control_core_pct=%.2f control_mb=%.1f node_bytes_per_s=%.0f "
                "in_force_worst_s=%.3f\n",
                hosts, out.control_core_pct, out.control_mb, out.node_bytes_per_s,
                out.in_force_worst_s);
    std::fflush(stdout);
    if (out.in_force_worst_s < 0)
        return std::nullopt;
    return out;
}

/// Costs of one entry host's own work, measured at the design size in this process.
struct node_cost
{
    double table_mb = 0;
    double rebuild_ms = 0;
    double choose_ns = 0;
    double digest_us = 0;
    double view_mb = 0;
    double configuration_bytes = 0;
};

node_cost measure_entry_host()
{
    node_cost out;
    auto const config = parse_intent(json::serialize(design_intent(0)));
    out.configuration_bytes = static_cast<double>(
        encode(configuration_push{config_version(1), 0, config.value(), 0, {}}).size());
    view_push push;
    push.whole = true;
    for (std::size_t i = 0; i < static_cast<std::size_t>(design_hosts); ++i)
    {
        host_row row;
        row.host = host_name("n" + std::to_string(i));
        row.region = region_name(region_text(i % region_count));
        row.domain = failure_domain_name(
            site_text(i % region_count + region_count * ((i / region_count) % 7)));
        row.caller_endpoint = endpoint_text("127.0.0.1:30000");
        row.phase = host_phase::serving;
        row.services = {{service_name("roster"), 12, 3, {}, 40'000},
                        {service_name("archive"), 12, 3, {}, 60'000}};
        push.changed.push_back(row);
        push.numbers.push_back(static_cast<std::uint16_t>(i));
    }
    fleet_view view;
    view.apply(push);
    out.view_mb = design_hosts * (sizeof(host_row) + 2 * sizeof(service_load) + 200) / 1e6;
    steering_table table(static_cast<std::size_t>(design_blocks));
    out.table_mb = design_blocks * 4 / 1e6;
    instant start = instant::clock::now();
    constexpr int rebuilds = 10;
    for (int i = 0; i < rebuilds; ++i)
        table.rebuild(config.value(), view);
    out.rebuild_ms =
        std::chrono::duration<double, std::milli>(instant::clock::now() - start).count() / rebuilds;
    auto const sites = table.sites();
    constexpr int lookups = 1'000'000;
    std::size_t found = 0;
    start = instant::clock::now();
    for (std::uint32_t i = 0; i < lookups; ++i)
        found += table.choose(*sites, block_index(i % 130'000)).count;
    out.choose_ns =
        std::chrono::duration<double, std::nano>(instant::clock::now() - start).count() / lookups;
    if (found < lookups)
        std::fprintf(stderr, "%d steering look-ups returned only %zu hosts\n", lookups, found);
    load_push loads;
    for (std::uint16_t i = 0; i < 59; ++i)
        loads.loads.push_back({i, {{12, 3, {}, 40'000}, {12, 3, {}, 60'000}}});
    std::string const bytes = encode(loads);
    constexpr int digests = 2000;
    start = instant::clock::now();
    for (int i = 0; i < digests; ++i)
        view.apply(decode<load_push>(bytes, "control").value());
    out.digest_us =
        std::chrono::duration<double, std::micro>(instant::clock::now() - start).count() / digests;
    return out;
}

/// Prints one row of the table; false when the value exceeds its limit.
bool print_row(char const* name, double value, double limit, char const* unit,
               char const* mechanism)
{
    bool const met = value <= limit;
    std::printf("| %s | %.4g %s | %.4g %s | %s | %s |\n", name, value, unit, limit, unit,
                met ? "met" : "RED", mechanism);
    return met;
}

} // namespace

int main(int argc, char** argv)
{
    standin::arguments const given(argc, argv);
    std::string const binaries = given.text("binaries", "build");
    std::vector<sample> samples;
    for (std::size_t const hosts : {59, 118, 177, 236, 295})
        if (auto const measured = measure(binaries, given.text("work", "run"), hosts))
            samples.push_back(*measured);
    if (samples.size() < 3)
    {
        std::cerr << "control answered at only " << samples.size()
                  << " numbers of hosts; a line needs 3\n";
        return 1;
    }
    node_cost const node = measure_entry_host();
    line const core = fit(samples, &sample::control_core_pct);
    line const memory = fit(samples, &sample::control_mb);
    line const bytes = fit(samples, &sample::node_bytes_per_s);
    line const in_force = fit(samples, &sample::in_force_worst_s);
    std::printf("slope control_core_pct %.4f + %.5f a host\n", core.intercept, core.slope);
    std::printf("slope control_mb %.2f + %.4f a host\n", memory.intercept, memory.slope);
    std::printf("slope node_bytes_per_s %.0f + %.3f a host\n", bytes.intercept, bytes.slope);
    std::printf("slope in_force_worst_s %.4f + %.6f a host\n\n", in_force.intercept,
                in_force.slope);

    double const change_bytes =
        node.configuration_bytes * design_changes_per_s + ping_bytes_per_s * design_control_hosts;
    double const rebuilds_per_s = design_changes_per_s + 3 * restarts_per_s;
    double const node_core = rebuilds_per_s * node.rebuild_ms / 10 + node.digest_us / 1e4;
    double const lookups_per_node = design_lookups_per_s / design_hosts;
    std::printf("| row | at the design size | limit | | mechanism |\n|---|---|---|---|---|\n");
    bool met = true;
    met &= print_row("bytes a node exchanges with control", bytes.at(design_hosts) + change_bytes,
                     3000, "B/s",
                     "load digests of its own region only; full configuration on a change");
    met &= print_row("node's processor time for views and tables", node_core, 4.7, "% of a core",
                     "table rebuilt on its own event loop, at most twice a second");
    met &= print_row("the same, 190 restarts in 10 minutes",
                     (190.0 / 600 * 3 * node.rebuild_ms) / 10 + node.digest_us / 1e4, 4.7,
                     "% of a core", "restarts close together share a rebuild");
    met &= print_row("node's memory for table and view", node.table_mb + 2 * node.view_mb, 64, "MB",
                     "four bytes per block");
    met &= print_row("one steering decision", node.choose_ns, 1000, "ns",
                     "one word read, rendezvous hashing within a site");
    met &= print_row("look-ups' choice at the mean rate", lookups_per_node * node.choose_ns / 1e7,
                     4.7, "% of a core",
                     "answered on the event loop of the callers, without asking another");
    met &= print_row("control host's processor time, 3 hosts carry all", core.at(design_hosts), 100,
                     "% of a core",
                     "one session per entry host; loads pushed less often in larger regions");
    met &= print_row("control host's memory, 3 hosts carry all", memory.at(design_hosts), 2000,
                     "MB", "state and host rows in memory");
    met &= print_row("configuration in force, worst", in_force.at(design_hosts), 5, "s",
                     "pushed when committed, acknowledged at once, or the lease ends");
    std::printf("\ncontrol hosts needed: 3 to 5 voters, up to %.0f allowed\n",
                design_control_hosts);
    return met ? 0 : 1;
}
