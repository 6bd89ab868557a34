// Starts the processes of a small deployment on loopback and talks to them.
#include "small_fleet.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <filesystem>
#include <future>
#include <iomanip>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review
{
using namespace guavashed;

namespace
{

// Ports, as offsets from the base port; each host has an address of its own.
constexpr unsigned caller_port = 0;
constexpr unsigned readiness_port = 1;
constexpr unsigned control_port = 2;
constexpr unsigned lookup_port = 3;
constexpr unsigned first_peer_port = 4;
constexpr unsigned last_peer_port = 19;
constexpr unsigned upstream_port = 20;
constexpr unsigned ports = 21;
constexpr milliseconds call_timeout{1000};

std::string const address_prefix = "127.0.40.";

volatile std::sig_atomic_t is_interrupted = 0;

struct place
{
    char const* region;
    char const* domain;
};
constexpr std::array<place, 6> places{{{"north", "north-a"},
                                       {"central", "central-a"},
                                       {"south", "south-a"},
                                       {"north", "north-b"},
                                       {"central", "central-b"},
                                       {"south", "south-b"}}};

/// Whether the port is free on all addresses that a fleet uses.
bool is_free(unsigned port)
{
    constexpr unsigned last_host = 254;
    for (unsigned host = 1; host <= last_host; ++host)
    {
        int const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(static_cast<std::uint16_t>(port));
        bool const bound =
            ::inet_pton(AF_INET, (address_prefix + std::to_string(host)).c_str(),
                        &where.sin_addr) == 1 &&
            ::bind(descriptor, reinterpret_cast<sockaddr const*>(&where), sizeof where) == 0;
        ::close(descriptor);
        if (!bound)
            return false;
    }
    return true;
}

/// First port of a range that is free, below the range of outgoing connections.
unsigned free_ports()
{
    constexpr unsigned lowest = 20000;
    constexpr unsigned highest = 32000;
    for (unsigned base = lowest + static_cast<unsigned>(::getpid()) % 200 * 50; base < highest;
         base += ports)
    {
        unsigned count = 0;
        while (count < ports && is_free(base + count))
            ++count;
        if (count == ports)
            return base;
    }
    throw std::runtime_error("no free ports");
}

} // namespace

void end_on_signals()
{
    struct sigaction action = {};
    action.sa_handler = [](int) { is_interrupted = 1; };
    ::sigaction(SIGTERM, &action, nullptr);
    ::sigaction(SIGINT, &action, nullptr);
}

void pause_s(double seconds)
{
    constexpr std::chrono::milliseconds step{50};
    auto const until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (std::chrono::steady_clock::now() < until)
    {
        if (is_interrupted != 0)
            throw std::runtime_error("interrupted");
        std::this_thread::sleep_for(std::min<std::chrono::duration<double>>(
            step, until - std::chrono::steady_clock::now()));
    }
}

small_fleet::small_fleet(fleet_options options)
    : options_(std::move(options)), processes_(options_.work_folder),
      record_(options_.record_path, std::ios::trunc), started_(std::chrono::steady_clock::now()),
      base_port_(free_ports()), upstreams_(options_.upstreams), event_loop_("operator"),
      client_(event_loop_)
{
    std::filesystem::create_directories(options_.work_folder);
}

std::string small_fleet::ip(unsigned host) const
{
    return address_prefix + std::to_string(host);
}

double small_fleet::seconds() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - started_).count();
}

void small_fleet::record(std::string const& line)
{
    record_ << std::fixed << std::setprecision(2) << std::setw(7) << seconds() << " s  " << line
            << std::endl;
}

std::string small_fleet::address(std::string const& host, unsigned port) const
{
    return host + ":" + std::to_string(base_port_ + port);
}

std::string small_fleet::common_settings(std::string const& name, std::string const& host,
                                         unsigned i) const
{
    std::string seed_list;
    for (unsigned const at : seeds_)
        seed_list += (seed_list.empty() ? "" : ",") + address(control_ip(at), control_port);
    std::string zones;
    for (auto const& item : places)
        zones += "zones." + std::string(item.domain) + "=" + item.region + "\n";
    place const& here = places[i % places.size()];
    return "node_name=" + name + "\nip=" + host + "\nzone=" + here.domain +
           "\nregion=" + here.region + "\n" + zones +
           "internal_ports=" + std::to_string(base_port_ + first_peer_port) + "," +
           std::to_string(base_port_ + last_peer_port) + "\nseeds=" + seed_list +
           "\nlimits.cpu_share=0.6\nlimits.cores=1\nlimits.memory_mb=256\nlimits.max_fds=4096\n"
           "limits.link_mbps=1000.0\ndiscovery=registration\nentry_point=directory\n"
           "heartbeat_ms=1500\ncontracts=base,drain,config,cost,retry,recover,places\n"
           "fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=1\n"
           "bounds=seed_lag_s=3,reuse_after_s=2,contact_ms=4000,ack_ms=5000,sync_s=4,"
           "drain_ms=2500,grace_s=6,loss_slack_ms=200,config_apply_ms=2500,back_ms=250,"
           "max_stretch_ms=6000,retry_budget=0.2,budget_window_s=10,budget_extra=64,"
           "warmup_overshoot=1.5,warmup_slack=5,evacuate_ms=5000,recovery_s=15,ttl_max_s=5,"
           "max_region_shift=0.15\n";
}

void small_fleet::spawn(std::string const& name, std::string const& settings)
{
    std::string const path = options_.work_folder + "/" + name + ".conf";
    std::ofstream(path) << settings;
    processes_.spawn(name, options_.binary, {}, {"GUAVASHED_NODE_FILE=" + path});
    record("start " + name);
}

void small_fleet::start_control(unsigned i, bool first_start)
{
    std::string const name = control(i);
    std::string const host = control_ip(i);
    std::string const data = options_.work_folder + "/data-" + name;
    std::filesystem::create_directories(data);
    spawn(name, common_settings(name, host, i) +
                    "role=registry\nnode_class=core\nserves=control_plane,directory\n"
                    "loss_counts=true\nlimits.disk_mb=256\nlisten.control=" +
                    address(host, control_port) +
                    "\nlisten.directory=" + address(host, lookup_port) + "\ndata_dir=" + data +
                    "\nbootstrap=" + (first_start ? "true" : "false") + "\n");
}

void small_fleet::start_entry(unsigned i)
{
    std::string const name = entry(i);
    std::string const host = entry_ip(i);
    spawn(name, common_settings(name, host, i) +
                    "role=gateway\nnode_class=edge\nserves=edge\nloss_counts=false\n"
                    "limits.disk_mb=0\nlisten.frontend=" +
                    address(host, caller_port) +
                    "\nlisten.readiness=" + address(host, readiness_port) + "\nbootstrap=false\n");
}

void small_fleet::start_upstream(unsigned i)
{
    standin::platform_upstream_settings settings;
    settings.id = "i-" + std::to_string(i);
    settings.service = "picker-roster";
    settings.domain = places[i % places.size()].domain;
    settings.listen = address(ip(200 + i), upstream_port);
    settings.announced = settings.listen;
    for (unsigned const at : options_.announced_to)
        settings.controls.push_back(address(control_ip(at), control_port));
    settings.work_ms = 40;
    settings.slots = 8;
    settings.announce_interval_ms = 1500;
    settings.seed = i;
    upstreams_[i] = std::make_unique<standin::platform_upstream>(settings);
    if (auto const outcome = upstreams_[i]->start(); !outcome)
        throw std::runtime_error("upstream cannot listen on " + settings.listen);
    record("start back end " + settings.id);
}

void small_fleet::kill(std::string const& name)
{
    constexpr double limit_s = 5;
    record("SIGKILL " + name);
    processes_.signal(name, SIGKILL);
    processes_.await(name, limit_s);
}

http_response small_fleet::call(std::string const& endpoint, http_request request)
{
    http_call order;
    order.endpoint = endpoint_text(endpoint);
    order.request = std::move(request);
    order.fresh_connection = true;
    order.deadline = instant::clock::now() + call_timeout;
    std::promise<http_response> answer;
    boost::asio::post(
        event_loop_.context(),
        [&]
        {
            client_.start(std::move(order),
                          [&answer](http_outcome const& outcome) {
                              answer.set_value(outcome.response.value_or(http_response{0, {}, {}}));
                          });
        });
    return answer.get_future().get();
}

bool small_fleet::configure(std::vector<unsigned> const& controls, double limit_s)
{
    constexpr double backoff_s = 0.1;
    auto const route = [](char const* prefix, char const* kind)
    {
        return "{\"host\":\"roster.example\",\"path_prefix\":\"" + std::string(prefix) +
               "\",\"route_type\":\"" + kind +
               "\",\"timeout_ms\":2000,\"target_latency_ms\":400,\"max_attempts\":2,"
               "\"priority\":0,\"session_affinity\":true,\"allowed_regions\":[],"
               "\"service\":\"picker-roster\"}";
    };
    std::string const text =
        "{\"version\":\"r" + std::to_string(version_ + 1) + "\",\"base_version\":\"r" +
        std::to_string(version_) + "\",\"routes\":{\"check\":" + route("/check/", "safe") +
        (routes_changed_ ? ",\"added\":" + route("/added/", "safe")
                         : ",\"confirm\":" + route("/confirm/", "unsafe")) +
        "},\"services\":{\"picker-roster\":{\"health_path\":\"/health\",\"max_connections\":390,"
        "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":5.0}},"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    double const until = seconds() + limit_s;
    for (unsigned i = 0; seconds() < until; ++i)
    {
        unsigned const at = controls[i % controls.size()];
        unsigned const status =
            call(address(control_ip(at), control_port), {"PUT", "/v1/config", {}, text, {}}).status;
        record("PUT /v1/config r" + std::to_string(version_ + 1) + " to " + control(at) + ": " +
               std::to_string(status));
        if (status == 200)
        {
            ++version_;
            return true;
        }
        pause_s(backoff_s);
    }
    return false;
}

unsigned small_fleet::read_config(unsigned at)
{
    unsigned const status =
        call(address(control_ip(at), control_port), {"GET", "/v1/config", {}, {}, {}}).status;
    record("GET /v1/config at " + control(at) + ": " + std::to_string(status));
    return status;
}

unsigned small_fleet::readiness(unsigned at)
{
    return call(address(entry_ip(at), readiness_port), {"GET", "/v1/readiness", {}, {}, {}}).status;
}

bool small_fleet::leads(unsigned at)
{
    http_response const answer =
        call(address(control_ip(at), control_port), {"GET", "/metrics", {}, {}, {}});
    return answer.body.find("guavashed_control_leads 1") != std::string::npos;
}

unsigned small_fleet::request(unsigned at, std::string const& target)
{
    std::string const id = "probe-" + std::to_string(++last_probe_);
    http_request probe;
    probe.target = target;
    probe.fields = {{"Host", "roster.example"},
                    {"X-Guavashed-Request-Id", id},
                    {"X-Guavashed-Request-Deadline", "900"}};
    unsigned const status = call(address(entry_ip(at), caller_port), probe).status;
    record(id + " GET " + target + " at " + entry(at) + ": " + std::to_string(status));
    return status;
}

bool small_fleet::wait_ready(double limit_s)
{
    constexpr double poll_s = 0.1;
    constexpr unsigned ready = 200;
    double const until = seconds() + limit_s;
    for (unsigned i = 0; i < options_.entries;)
    {
        if (readiness(i) == ready)
            ++i;
        else if (seconds() > until)
            return false;
        else
            pause_s(poll_s);
    }
    return true;
}

standin::platform_caller_settings small_fleet::caller_settings(unsigned controls,
                                                               unsigned per_s) const
{
    standin::platform_caller_settings out;
    out.host = "roster.example";
    out.idempotent_prefix = "/check/";
    out.unsafe_prefix = "/confirm/";
    for (unsigned i = 0; i < controls; ++i)
        out.lookup_addresses.push_back(address(control_ip(i), lookup_port));
    out.region = "north";
    out.domain = "north-a";
    out.per_s = per_s;
    return out;
}

} // namespace review
