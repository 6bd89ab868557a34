// Starts the processes of a deployment, and implements the client and the operator.
#include "deployment.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <boost/algorithm/string/predicate.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review
{
namespace
{

// Ports, as offsets from the deployment's first port.
constexpr unsigned frontend_port = 0;
constexpr unsigned readiness_port = 1;
constexpr unsigned control_port = 2;
constexpr unsigned directory_port = 3;
constexpr unsigned first_internal_port = 10;
constexpr unsigned last_internal_port = 25;
constexpr unsigned upstream_port = 30;
constexpr unsigned port_count = 32;

sockaddr_in parse(std::string const& address)
{
    sockaddr_in out{};
    auto const colon = address.rfind(':');
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

bool is_free(unsigned port)
{
    int const probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_port = htons(static_cast<std::uint16_t>(port));
    any.sin_addr.s_addr = htonl(INADDR_ANY);
    bool const out = ::bind(probe, reinterpret_cast<sockaddr*>(&any), sizeof any) == 0;
    ::close(probe);
    return out;
}

unsigned free_ports()
{
    std::mt19937 random(std::random_device{}());
    for (int tries = 0; tries < 200; ++tries)
    {
        unsigned const first = 12000 + random() % 18000;
        bool all = true;
        for (unsigned i = 0; i < port_count && all; ++i)
            all = is_free(first + i);
        if (all)
            return first;
    }
    throw std::runtime_error("no free ports");
}

std::atomic<deployment*> running{nullptr};

volatile std::sig_atomic_t end_requested = 0;

/// Ends all processes of the deployment when this process shall end early.
void end_on_signal()
{
    for (int const number : {SIGTERM, SIGINT, SIGHUP})
        std::signal(number, [](int) { end_requested = 1; });
    std::thread(
        []
        {
            while (end_requested == 0)
                sleep_ms(50);
            if (deployment* const fleet = running)
                fleet->end_processes();
            ::_exit(2);
        })
        .detach();
}

int left_ms(clock::time_point until)
{
    auto const left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
    return static_cast<int>(std::max<long>(0, left));
}

} // namespace

void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

bool trouble()
{
    char const* const given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

record::record(std::string const& path) : file_(path, std::ios::trunc), start_(clock::now()) {}

double record::seconds() const
{
    return std::chrono::duration<double>(clock::now() - start_).count();
}

void record::line(std::string const& text)
{
    std::lock_guard const guard(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f ", seconds());
    file_ << at << text << std::endl;
}

std::string http_reply::field(std::string const& name) const
{
    std::istringstream lines(head);
    for (std::string line; std::getline(lines, line);)
    {
        auto const colon = line.find(':');
        if (colon == std::string::npos || !boost::algorithm::iequals(line.substr(0, colon), name))
            continue;
        auto value = line.substr(colon + 1);
        while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
            value.pop_back();
        value.erase(0, value.find_first_not_of(' '));
        return value;
    }
    return {};
}

connection::~connection()
{
    close();
}

void connection::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
}

bool connection::open(std::string const& address, milliseconds limit)
{
    close();
    buffer_.clear();
    ended_ = false;
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in const to = parse(address);
    if (::connect(socket_, reinterpret_cast<sockaddr const*>(&to), sizeof to) != 0)
    {
        pollfd wait{socket_, POLLOUT, 0};
        int code = errno;
        socklen_t length = sizeof code;
        bool const done =
            code == EINPROGRESS && ::poll(&wait, 1, static_cast<int>(limit.count())) == 1 &&
            ::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &code, &length) == 0 && code == 0;
        if (!done)
            return close(), false;
    }
    int const on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
}

bool connection::send(std::string const& bytes)
{
    std::size_t sent = 0;
    auto const until = clock::now() + milliseconds(1000);
    while (socket_ >= 0 && sent < bytes.size())
    {
        ssize_t const n = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n > 0)
        {
            sent += static_cast<std::size_t>(n);
            continue;
        }
        pollfd wait{socket_, POLLOUT, 0};
        if (errno != EAGAIN || ::poll(&wait, 1, left_ms(until)) != 1)
            return false;
    }
    return socket_ >= 0;
}

bool connection::receive(clock::time_point until)
{
    if (socket_ < 0 || ended_)
        return false;
    pollfd wait{socket_, POLLIN, 0};
    if (::poll(&wait, 1, left_ms(until)) != 1)
        return false;
    char bytes[65536];
    ssize_t const n = ::recv(socket_, bytes, sizeof bytes, 0);
    if (n <= 0)
        ended_ = true;
    else
        buffer_.append(bytes, static_cast<std::size_t>(n));
    return n > 0;
}

http_reply connection::read(milliseconds limit, bool head_only)
{
    auto const until = clock::now() + limit;
    http_reply out;
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
        if (!receive(until))
            return out;
    out.head = buffer_.substr(0, end + 2);
    std::string const length = out.field("Content-Length");
    std::size_t const size = head_only || length.empty() ? 0 : std::stoul(length);
    while (buffer_.size() < end + 4 + size)
        if (!receive(until))
            return out;
    out.body = buffer_.substr(end + 4, size);
    buffer_.erase(0, end + 4 + size);
    out.rest = buffer_;
    auto const space = out.head.find(' ');
    if (out.head.starts_with("HTTP/1.1 ") && space != std::string::npos)
        out.status = static_cast<unsigned>(std::atoi(out.head.c_str() + space + 1));
    return out;
}

std::string connection::drain(milliseconds limit)
{
    auto const until = clock::now() + limit;
    while (receive(until))
        ;
    return std::exchange(buffer_, {});
}

http_reply request(std::string const& address, std::string const& method, std::string const& target,
                   std::string const& fields, std::string const& body, milliseconds limit)
{
    auto const until = clock::now() + limit;
    connection link;
    if (!link.open(address, limit))
        return {};
    std::string text = method + " " + target + " HTTP/1.1\r\n" + fields;
    if (fields.find("Host:") == std::string::npos)
        text += "Host: " + address + "\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    if (!body.empty() || method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!link.send(text + "\r\n" + body))
        return {};
    return link.read(milliseconds(left_ms(until)));
}

deployment::deployment(deployment_options options, record& log)
    : options_(std::move(options)), log_(log), port_(free_ports()), processes_(options_.folder)
{
    std::filesystem::create_directories(options_.folder);
    running = this;
}

deployment::~deployment()
{
    running = nullptr;
}

void deployment::end_processes()
{
    for (unsigned i = 0; i < options_.controls + options_.edges; ++i)
    {
        bool const is_control = i < options_.controls;
        std::string const name = is_control ? control_name(i) : edge_name(i - options_.controls);
        if (processes_.started(name))
            processes_.signal(name, SIGKILL);
    }
}

std::string deployment::at(std::string const& ip, unsigned offset) const
{
    return ip + ":" + std::to_string(port_ + offset);
}

std::string deployment::control_address(unsigned i) const
{
    return at("127.0.2." + std::to_string(10 + i), control_port);
}

std::string deployment::edge_address(unsigned i) const
{
    return at("127.0.2." + std::to_string(50 + i), frontend_port);
}

std::string deployment::readiness_address(unsigned i) const
{
    return at("127.0.2." + std::to_string(50 + i), readiness_port);
}

std::string deployment::upstream_address(unsigned i) const
{
    return at("127.0.3." + std::to_string(1 + i), upstream_port);
}

std::vector<std::string> deployment::control_addresses() const
{
    std::vector<std::string> out;
    for (unsigned i = 0; i < options_.controls; ++i)
        out.push_back(control_address(i));
    return out;
}

std::string deployment::zone_of(unsigned i)
{
    static char const* const zones[] = {"north-a", "south-a", "north-b", "south-b"};
    return zones[i % 4];
}

std::string deployment::region_of(unsigned i)
{
    return i % 2 == 0 ? "north" : "south";
}

standin::platform_upstream_settings deployment::upstream_settings(unsigned i) const
{
    standin::platform_upstream_settings out;
    out.id = "i-" + std::to_string(1000 + i);
    out.service = "roster";
    out.domain = zone_of(i);
    out.listen = upstream_address(i);
    out.announced = out.listen;
    out.controls = control_addresses();
    out.announce_interval_ms = 1500;
    out.seed = i + 1;
    return out;
}

std::string deployment::settings(std::string const& name, std::string const& ip,
                                 unsigned place) const
{
    std::string seeds;
    for (unsigned i = 0; i < std::min(3U, options_.controls); ++i)
        seeds += (i == 0 ? "" : ",") + control_address(i);
    std::ostringstream out;
    out << "node_name=" << name << "\nip=" << ip << "\nzone=" << zone_of(place)
        << "\nregion=" << region_of(place)
        << "\nzones.north-a=north\nzones.north-b=north\nzones.south-a=south\nzones.south-b=south\n"
        << "internal_ports=" << port_ + first_internal_port << "," << port_ + last_internal_port
        << "\nseeds=" << seeds
        << "\nlimits.cpu_share=0.2\nlimits.cores=1\nlimits.memory_mb=" << options_.memory_mb
        << "\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\ndiscovery=registration\n"
           "entry_point=directory\nheartbeat_ms=1500\n"
           "contracts=base,drain,config,cost,retry,recover,places\nfault_tolerance.machines=2\n"
           "fault_tolerance.zones=1\nfault_tolerance.regions=1\n"
           "bounds=seed_lag_s=3,reuse_after_s=2,contact_ms=4000,ack_ms=5000,sync_s=4,drain_ms=2500,"
           "grace_s=6,loss_slack_ms=200,config_apply_ms=2500,back_ms=250,max_stretch_ms=6000,"
           "retry_budget=0.2,budget_window_s=10,budget_extra=64,warmup_overshoot=1.5,"
           "warmup_slack=5,evacuate_ms=5000,recovery_s=15,ttl_max_s=5,max_region_shift=0.15\n";
    return out.str();
}

void deployment::spawn(std::string const& name, std::string const& text)
{
    std::string const path = options_.folder + "/" + name + ".conf";
    std::ofstream(path) << text;
    processes_.spawn(name, options_.binary, {}, {"GUAVASHED_NODE_FILE=" + path});
}

void deployment::start_control(unsigned i, bool bootstrap)
{
    std::string const name = control_name(i);
    std::string const ip = "127.0.2." + std::to_string(10 + i);
    std::string const data = options_.folder + "/data-" + name;
    std::filesystem::create_directories(data);
    spawn(name, settings(name, ip, i) + "role=registry\nnode_class=core\nloss_counts=true\n" +
                    "limits.disk_mb=256\nserves=control_plane,directory\nlisten.control=" +
                    control_address(i) + "\nlisten.directory=" + at(ip, directory_port) +
                    "\ndata_dir=" + data + "\nbootstrap=" + (bootstrap ? "true" : "false") + "\n");
}

void deployment::start_edge(unsigned i)
{
    std::string const name = edge_name(i);
    std::string const ip = "127.0.2." + std::to_string(50 + i);
    spawn(name, settings(name, ip, i) + "role=gateway\nnode_class=edge\nloss_counts=false\n" +
                    "limits.disk_mb=0\nserves=edge\nbootstrap=true\nlisten.frontend=" +
                    edge_address(i) + "\nlisten.readiness=" + readiness_address(i) + "\n");
}

std::string deployment::document(unsigned version, unsigned base) const
{
    auto const route = [this](char const* prefix, char const* kind)
    {
        return "{\"host\":\"roster.example\",\"path_prefix\":\"" + std::string(prefix) +
               "\",\"route_type\":\"" + kind +
               "\",\"timeout_ms\":" + std::to_string(options_.route_timeout_ms) +
               ",\"target_latency_ms\":400,\"max_attempts\":2,\"priority\":0,"
               "\"service\":\"roster\",\"session_affinity\":false,\"allowed_regions\":[]}";
    };
    return "{\"version\":\"r" + std::to_string(version) + "\",\"base_version\":\"r" +
           std::to_string(base) + "\",\"routes\":{\"check\":" + route("/check/", "safe") +
           ",\"confirm\":" + route("/confirm/", "unsafe") +
           "},\"services\":{\"roster\":{\"health_path\":\"/health\",\"max_connections\":390,"
           "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":6.9}},"
           "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
           "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

unsigned deployment::order(unsigned first, std::string const& method, std::string const& target,
                           std::string const& body, milliseconds limit)
{
    auto const until = clock::now() + limit;
    for (unsigned i = first; clock::now() < until; ++i)
    {
        unsigned const control = i % options_.controls;
        auto const reply =
            request(control_address(control), method, target, "", body, milliseconds(1000));
        log_.line("operator: " + method + " " + target + " at " + control_name(control) + ": " +
                  (reply.status == 0 ? "no answer" : std::to_string(reply.status)));
        if (reply.status / 100 == 2 || reply.status / 100 == 4)
            return reply.status;
        sleep_ms(50);
    }
    return 0;
}

std::optional<unsigned> deployment::leader() const
{
    for (unsigned i = 0; i < options_.controls; ++i)
        if (request(control_address(i), "GET", "/metrics", "", "", milliseconds(1000))
                .body.find("guavashed_control_leads 1") != std::string::npos)
            return i;
    return std::nullopt;
}

bool deployment::start()
{
    for (unsigned i = 0; i < options_.controls; ++i)
        start_control(i, true);
    for (unsigned i = 0; i < options_.edges; ++i)
        start_edge(i);
    sleep_ms(1500);
    return order(0, "PUT", "/v1/config", document(1, 0), milliseconds(15000)) == 200;
}

bool deployment::wait_ready(int limit_s)
{
    auto const until = clock::now() + std::chrono::seconds(limit_s);
    for (unsigned i = 0; i < options_.edges;)
    {
        if (request(readiness_address(i), "GET", "/v1/readiness", "", "", milliseconds(500))
                .status == 200)
            ++i;
        else if (clock::now() > until)
            return false;
        else
            sleep_ms(50);
    }
    return true;
}

int guarded_main(int argc, char** argv,
                 int (*run)(std::string const& binary, std::string const& folder, record& log))
{
    if (argc != 4)
    {
        std::cerr << "usage: " << argv[0] << " BINARY WORK_FOLDER RECORD\n";
        return 2;
    }
    try
    {
        std::signal(SIGPIPE, SIG_IGN);
        end_on_signal();
        record log(argv[3]);
        int const code = run(argv[1], argv[2], log);
        log.line("exit " + std::to_string(code));
        return code;
    }
    catch (std::exception const& problem)
    {
        std::cerr << "the case could not run: " << problem.what() << "\n";
        return 2;
    }
}

} // namespace review
