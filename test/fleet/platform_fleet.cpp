// Starts and configures the platform daemon's processes, relays and simulated upstreams.
#include "platform_fleet.hpp"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace fleet_test
{
using namespace guavashed;

namespace
{

// Ports, as offsets from the base port.
constexpr unsigned caller_port = 0;
constexpr unsigned readiness_port = 1;
constexpr unsigned control_port = 2;
constexpr unsigned lookup_port = 3;
constexpr unsigned first_peer_port = 10;
constexpr unsigned last_peer_port = 15;
constexpr unsigned upstream_port = 20;
constexpr unsigned relay_port = 21;
constexpr unsigned seed_count = 3;
constexpr milliseconds call_timeout{1000};

void pause_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

platform_fleet::platform_fleet(platform_fleet_options options)
    : options_(std::move(options)), processes_(options_.work_folder), event_loop_("operator"),
      client_(event_loop_)
{
    std::filesystem::remove_all(options_.work_folder);
    std::filesystem::create_directories(options_.work_folder);
    upstreams_.resize(options_.upstreams);
    for (unsigned i = 0; options_.relays && i < options_.upstreams; ++i)
    {
        relays_.push_back(std::make_unique<relay>(upstream_address(i, relay_port),
                                                  upstream_address(i, upstream_port)));
        if (!relays_.back()->start())
            std::cerr << "relay of upstream " << i << " cannot listen\n";
    }
}

platform_fleet::location platform_fleet::location_of(unsigned i)
{
    static std::vector<location> const locations{
        {"north", "north-a"}, {"south", "south-a"}, {"north", "north-b"}, {"south", "south-b"}};
    return locations[i % locations.size()];
}

std::string platform_fleet::control_ip(unsigned i) const
{
    // Names are compared as text.
    bool const comes_first = options_.spares_come_first && i >= options_.controls;
    return "127.0.2." + std::to_string((comes_first ? 100 : 10) + i);
}

std::string platform_fleet::entry_ip(unsigned i) const
{
    return "127.0.2." + std::to_string(50 + i);
}

std::string platform_fleet::address(std::string const& ip, unsigned port) const
{
    return ip + ":" + std::to_string(options_.base_port + port);
}

std::string platform_fleet::upstream_address(unsigned i, unsigned port) const
{
    return address("127.0.3." + std::to_string(1 + i), port);
}

std::vector<std::string> platform_fleet::control_addresses() const
{
    std::vector<std::string> out;
    for (unsigned i = 0; i < all_controls(); ++i)
        out.push_back(address(control_ip(i), control_port));
    return out;
}

std::vector<std::string> platform_fleet::lookup_addresses() const
{
    std::vector<std::string> out;
    for (unsigned i = 0; i < all_controls(); ++i)
        out.push_back(address(control_ip(i), lookup_port));
    return out;
}

std::string platform_fleet::common_settings(std::string const& name, std::string const& ip,
                                            location const& where) const
{
    std::string seeds;
    for (unsigned i = 0; i < std::min(seed_count, options_.controls); ++i)
        seeds += (i == 0 ? "" : ",") + address(control_ip(i), control_port);
    return "node_name=" + name + "\nip=" + ip + "\nzone=" + where.domain +
           "\nregion=" + where.region +
           "\nzones.north-a=north\nzones.north-b=north\nzones.south-a=south\nzones.south-b=south\n"
           "internal_ports=" +
           std::to_string(options_.base_port + first_peer_port) + "," +
           std::to_string(options_.base_port + last_peer_port) + "\nseeds=" + seeds +
           "\nlimits.max_fds=4096\nheartbeat_ms=300\n"
           "bounds=retry_budget=0.2,budget_extra=64,ttl_max_s=5,grace_s=" +
           std::to_string(options_.grace_s) + options_.extra_bounds + "\n";
}

void platform_fleet::spawn(std::string const& name, std::string const& settings)
{
    std::string const path = options_.work_folder + "/" + name + ".conf";
    std::ofstream(path) << settings;
    processes_.spawn(name, options_.binary, {}, {"GUAVASHED_NODE_FILE=" + path});
}

void platform_fleet::start_control(unsigned i, bool first_start)
{
    std::string const name = control_name(i);
    std::string const ip = control_ip(i);
    std::string const data = options_.work_folder + "/data-" + name;
    std::filesystem::create_directories(data);
    spawn(name, common_settings(name, ip, location_of(i)) + "serves=control_plane,directory\n" +
                    "listen.control=" + address(ip, control_port) +
                    "\nlisten.directory=" + address(ip, lookup_port) + "\ndata_dir=" + data +
                    "\nbootstrap=" + (first_start ? "true" : "false") + "\n");
}

void platform_fleet::start_entry(unsigned i)
{
    std::string const name = entry_name(i);
    std::string const ip = entry_ip(i);
    spawn(name, common_settings(name, ip, location_of(i)) +
                    "serves=edge\nlisten.frontend=" + address(ip, caller_port) +
                    "\nlisten.readiness=" + address(ip, readiness_port) + "\n");
}

void platform_fleet::start_upstream(unsigned i, unsigned warmup_ms)
{
    ++incarnations_[i];
    run_upstream(i, warmup_ms);
}

void platform_fleet::restart_upstream(unsigned i)
{
    run_upstream(i, 0);
}

void platform_fleet::run_upstream(unsigned i, unsigned warmup_ms)
{
    if (upstreams_[i])
    {
        upstreams_[i]->crash();
        ended_records_.push_back(upstreams_[i]->record());
    }
    standin::platform_upstream_settings settings;
    settings.id = "u" + std::to_string(i) + "-" + std::to_string(incarnations_[i]);
    settings.service = "roster";
    settings.domain = location_of(i).domain;
    settings.listen = upstream_address(i, upstream_port);
    settings.announced = upstream_address(i, options_.relays ? relay_port : upstream_port);
    settings.controls = control_addresses();
    settings.work_ms = options_.work_ms;
    settings.slots = options_.slots;
    settings.warmup_ms = warmup_ms;
    settings.file_bytes = options_.file_bytes;
    settings.unanswered_share = options_.unanswered_share;
    settings.shed_share = options_.shed_share;
    settings.pause_share = i < options_.pausing_upstreams ? options_.pause_share : 0;
    settings.seed = options_.seed + i;
    upstreams_[i] = std::make_unique<standin::platform_upstream>(settings);
    if (auto const started = upstreams_[i]->start(); !started)
        throw std::runtime_error("upstream " + settings.id + " cannot listen on " +
                                 settings.listen + ": " + to_string(started.error()));
}

standin::platform_caller_settings platform_fleet::caller_settings(double per_s,
                                                                  std::uint64_t seed) const
{
    standin::platform_caller_settings settings;
    settings.host = "roster.example";
    settings.idempotent_prefix = "/check/";
    settings.unsafe_prefix = "/confirm/";
    settings.lookup_addresses = lookup_addresses();
    settings.region = "north";
    settings.domain = "north-a";
    settings.per_s = per_s;
    settings.seed = seed;
    return settings;
}

endpoint_text platform_fleet::control_endpoint(unsigned i) const
{
    return endpoint_text(address(control_ip(i), control_port));
}

endpoint_text platform_fleet::entry_endpoint(unsigned i) const
{
    return endpoint_text(address(entry_ip(i), caller_port));
}

unsigned platform_fleet::leader() const
{
    std::map<std::string, unsigned> votes;
    for (unsigned i = 0; i < options_.controls; ++i)
    {
        std::string const log = log_of(control_name(i));
        std::string const key = "event=leader leader=";
        auto const at = log.rfind(key);
        if (at != std::string::npos)
            ++votes[log.substr(at + key.size(), log.find(':', at) - at - key.size())];
    }
    unsigned out = 0;
    for (unsigned i = 0; i < options_.controls; ++i)
        if (votes[control_ip(i)] > votes[control_ip(out)])
            out = i;
    return out;
}

std::uintmax_t platform_fleet::log_bytes_on_disk(unsigned control) const
{
    return std::filesystem::file_size(options_.work_folder + "/data-" + control_name(control) +
                                      "/log");
}

void platform_fleet::lose_disk(unsigned control)
{
    std::filesystem::remove_all(options_.work_folder + "/data-" + control_name(control));
}

http_outcome platform_fleet::call(http_call call)
{
    call.deadline = instant::clock::now() + call_timeout;
    std::promise<http_outcome> done;
    boost::asio::post(event_loop_.context(),
                      [&]
                      {
                          client_.start(std::move(call), [&done](http_outcome outcome)
                                        { done.set_value(std::move(outcome)); });
                      });
    return done.get_future().get();
}

unsigned platform_fleet::request_control(unsigned control, std::string const& method,
                                         std::string const& target, std::string const& body,
                                         std::string* answer)
{
    http_call request;
    request.endpoint = control_endpoint(control);
    request.request.method = method;
    request.request.target = target;
    request.request.body = body;
    request.fresh_connection = true;
    auto const outcome = call(std::move(request));
    if (!outcome.response)
        return 0;
    if (answer != nullptr)
        *answer = outcome.response->body;
    return outcome.response->status;
}

std::optional<std::uint64_t> platform_fleet::control_metric(unsigned control,
                                                            std::string const& name)
{
    std::string answer;
    std::string const key = "guavashed_control_" + name + " ";
    if (request_control(control, "GET", "/metrics", {}, &answer) != 200)
        return std::nullopt;
    auto const at = answer.find(key);
    if (at == std::string::npos)
        return std::nullopt;
    return std::stoull(answer.substr(at + key.size()));
}

std::optional<http_response> platform_fleet::call_entry(unsigned entry, http_request request)
{
    http_call order;
    order.endpoint = entry_endpoint(entry);
    order.request = std::move(request);
    order.fresh_connection = true;
    return call(std::move(order)).response;
}

unsigned platform_fleet::request_entry(unsigned entry, http_request request)
{
    auto const response = call_entry(entry, std::move(request));
    return response ? response->status : 0;
}

bool platform_fleet::configure(std::uint64_t version, double limit_s, std::string const& upsert)
{
    constexpr unsigned conflict = 412;
    auto const until = std::chrono::steady_clock::now() + milliseconds(int(limit_s * 1000));
    for (unsigned i = 0; std::chrono::steady_clock::now() < until; ++i)
    {
        unsigned const control = i % all_controls();
        unsigned const status = request_control(control, upsert.empty() ? "PUT" : "PATCH",
                                                "/v1/config", document(version, upsert));
        if (status == 200)
        {
            accepted_ = version;
            return true;
        }
        // An earlier attempt whose acknowledgement was lost may have been accepted.
        if (std::uint64_t const current = status == conflict ? read_version(control) : 0;
            current > accepted_)
        {
            accepted_ = current;
            version = std::max(version, current + 1);
        }
        pause_ms(50);
    }
    return false;
}

std::uint64_t platform_fleet::read_version(unsigned control)
{
    std::string answer;
    if (request_control(control, "GET", "/v1/config", {}, &answer) != 200)
        return 0;
    constexpr std::string_view key = "\"version\":\"r";
    auto const at = answer.find(key);
    return at == std::string::npos ? 0 : std::stoull(answer.substr(at + key.size()));
}

bool platform_fleet::entry_ready(unsigned i)
{
    http_call request;
    request.endpoint = endpoint_text(address(entry_ip(i), readiness_port));
    request.request.target = "/v1/readiness";
    request.fresh_connection = true;
    auto const outcome = call(std::move(request));
    return outcome.response && outcome.response->status == 200;
}

bool platform_fleet::wait_ready(double limit_s)
{
    auto const until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(int(limit_s * 1000));
    for (unsigned i = 0; i < options_.entries;)
    {
        if (entry_ready(i))
            ++i;
        else if (std::chrono::steady_clock::now() > until)
            return false;
        else
            pause_ms(50);
    }
    return true;
}

bool platform_fleet::start()
{
    for (unsigned i = 0; i < options_.controls; ++i)
        start_control(i, true);
    for (unsigned i = 0; i < options_.entries; ++i)
        start_entry(i);
    if (!configure(1))
        return false;
    for (unsigned i = 0; i < options_.upstreams; ++i)
        start_upstream(i);
    pause_ms(1000);
    return wait_ready(10);
}

std::vector<standin::platform_upstream_record> platform_fleet::records() const
{
    auto out = ended_records_;
    for (auto const& item : upstreams_)
        if (item)
            out.push_back(item->record());
    return out;
}

} // namespace fleet_test
