/// \file
/// Stand-ins for the third review: the platform, which starts processes of the system, an operator,
/// backends and clients, as small blocking programs over POSIX sockets. They use nothing of the
/// product, so that a fault of its transport can't hide on both sides.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace stand
{

using clock_type = std::chrono::steady_clock;

inline clock_type::time_point const start_time = clock_type::now();

/// Seconds since the start of the script.
inline double now_s()
{
    return std::chrono::duration<double>(clock_type::now() - start_time).count();
}

inline void sleep_s(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// What was sent, answered and run, one line each.
class record
{
public:
    explicit record(std::string const& path) : file_(path) {}
    void line(std::string const& text)
    {
        std::lock_guard const guard(mutex_);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f s  ", now_s());
        file_ << at << text << "\n";
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct address
{
    std::string ip;
    unsigned port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(address const& where)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.ip.c_str(), &out.sin_addr);
    return out;
}

/// A blocking connection with a deadline for each operation.
class connection
{
public:
    connection() = default;
    explicit connection(int descriptor) : fd_(descriptor) {}
    connection(connection const&) = delete;
    connection(connection&& other) noexcept
        : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_))
    {
    }
    connection& operator=(connection&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        std::swap(buffer_, other.buffer_);
        return *this;
    }
    ~connection() { close(); }

    bool open(address const& to, double timeout_s)
    {
        close();
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd_ < 0)
            return false;
        int const on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        sockaddr_in const at = to_sockaddr(to);
        if (::connect(fd_, reinterpret_cast<sockaddr const*>(&at), sizeof at) == 0)
            return true;
        if (errno != EINPROGRESS || !wait(POLLOUT, timeout_s))
            return close(), false;
        int code = 0;
        socklen_t length = sizeof code;
        ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &code, &length);
        if (code != 0)
            close();
        return code == 0;
    }
    bool write(std::string const& bytes, double timeout_s)
    {
        double const until = now_s() + timeout_s;
        std::size_t done = 0;
        while (done < bytes.size())
        {
            ssize_t const n =
                ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0)
                done += static_cast<std::size_t>(n);
            else if (n < 0 && errno != EAGAIN && errno != EINTR)
                return false;
            else if (!wait(POLLOUT, until - now_s()))
                return false;
        }
        return true;
    }
    /// Reads until the buffer holds `mark`; empty at the end of the connection or time.
    std::optional<std::string> read_until(std::string const& mark, double until)
    {
        for (;;)
        {
            auto const at = buffer_.find(mark);
            if (at != std::string::npos)
            {
                std::string out = buffer_.substr(0, at + mark.size());
                buffer_.erase(0, at + mark.size());
                return out;
            }
            if (!fill(until))
                return std::nullopt;
        }
    }
    std::optional<std::string> read_exactly(std::size_t count, double until)
    {
        while (buffer_.size() < count)
            if (!fill(until))
                return std::nullopt;
        std::string out = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return out;
    }
    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
        buffer_.clear();
    }
    bool is_open() const { return fd_ >= 0; }
    int descriptor() const { return fd_; }

private:
    bool wait(short events, double timeout_s)
    {
        pollfd item{fd_, events, 0};
        return timeout_s > 0 && ::poll(&item, 1, static_cast<int>(timeout_s * 1000) + 1) > 0;
    }
    bool fill(double until)
    {
        char chunk[16384];
        for (;;)
        {
            ssize_t const n = ::recv(fd_, chunk, sizeof chunk, MSG_DONTWAIT);
            if (n > 0)
            {
                buffer_.append(chunk, static_cast<std::size_t>(n));
                return true;
            }
            if (n == 0 || (errno != EAGAIN && errno != EINTR) || !wait(POLLIN, until - now_s()))
                return false;
        }
    }

    int fd_ = -1;
    std::string buffer_;
};

struct message
{
    /// Request or status line.
    std::string first;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(std::string const& lower_name) const
    {
        auto const at = fields.find(lower_name);
        return at == fields.end() ? std::string() : at->second;
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        auto const from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
};

/// Reads one message with a length; the stand-ins send no other framing.
inline std::optional<message> read_message(connection& from, double until)
{
    auto const head = from.read_until("\r\n\r\n", until);
    if (!head)
        return std::nullopt;
    message out;
    std::size_t at = head->find("\r\n");
    out.first = head->substr(0, at);
    for (at += 2; at + 2 < head->size();)
    {
        std::size_t const end = head->find("\r\n", at);
        std::string const line = head->substr(at, end - at);
        at = end + 2;
        std::size_t const colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        for (char& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        std::size_t const value = line.find_first_not_of(' ', colon + 1);
        out.fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    auto const length = static_cast<std::size_t>(std::atoll(out.field("content-length").c_str()));
    auto body = from.read_exactly(length, until);
    if (!body)
        return std::nullopt;
    out.body = std::move(*body);
    return out;
}

/// One call on a connection of its own; empty without a complete answer.
inline std::optional<message> call(address const& to, std::string const& method,
                                   std::string const& target, std::string const& body,
                                   std::string const& fields = {}, double timeout_s = 1)
{
    connection line;
    double const until = now_s() + timeout_s;
    if (!line.open(to, timeout_s))
        return std::nullopt;
    std::string const head = method + " " + target + " HTTP/1.1\r\nHost: " + to.text() +
                             "\r\nContent-Type: application/json\r\nConnection: close\r\n" +
                             fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!line.write(head + body, timeout_s))
        return std::nullopt;
    return read_message(line, until);
}

/// Processes of the system, as the deploy file starts them. Ends all of them when it is destroyed.
class platform
{
public:
    /// `folder` is empty and belongs to the script.
    platform(std::string binary, std::string folder, unsigned controls, unsigned entries)
        : binary_(std::move(binary)), folder_(std::move(folder)), controls_(controls),
          entries_(entries), base_port_(free_base_port())
    {
    }
    platform(platform const&) = delete;
    ~platform()
    {
        for (auto const& [name, pid] : running_)
        {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
    }

    /// Starts all machines at once; of the core only the first `core` ones.
    void start_all(unsigned core)
    {
        for (unsigned i = 0; i < core; ++i)
            start_control(i, true);
        for (unsigned i = 0; i < entries_; ++i)
            start_entry(i);
    }
    void start_control(unsigned i, bool bootstrap)
    {
        std::string const ip = control_ip(i);
        std::string const data = folder_ + "/data-" + std::to_string(i);
        std::filesystem::create_directories(data);
        spawn("core-" + std::to_string(i),
              common("core-" + std::to_string(i), ip, i) + "node_class=core\nrole=registry\n" +
                  "serves=control_plane,directory\nlisten.control=" + control(i).text() +
                  "\nlisten.directory=" + directory(i).text() + "\ndata_dir=" + data +
                  "\nloss_counts=true\nlimits.memory_mb=256\nlimits.max_fds=4096\nbootstrap=" +
                  (bootstrap ? "true" : "false") + "\n");
    }
    void start_entry(unsigned i)
    {
        std::string const ip = entry_ip(i);
        spawn("edge-" + std::to_string(i),
              common("edge-" + std::to_string(i), ip, i) + "node_class=edge\nrole=gateway\n" +
                  "serves=edge\nlisten.frontend=" + entry(i).text() +
                  "\nlisten.readiness=" + readiness(i).text() +
                  "\nloss_counts=false\nlimits.memory_mb=260\nlimits.max_fds=4100\n"
                  "bootstrap=true\n");
    }
    /// The core machines that settings files name as seeds from now on.
    void set_seeds(std::vector<unsigned> seeds) { seeds_ = std::move(seeds); }
    void signal(std::string const& name, int number) { ::kill(running_.at(name), number); }
    void kill_and_wait(std::string const& name)
    {
        pid_t const pid = running_.at(name);
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        running_.erase(name);
    }
    /// Names of processes that have ended by themselves.
    std::vector<std::string> ended()
    {
        std::vector<std::string> out;
        for (auto at = running_.begin(); at != running_.end();)
        {
            if (::waitpid(at->second, nullptr, WNOHANG) == 0)
            {
                ++at;
                continue;
            }
            out.push_back(at->first);
            at = running_.erase(at);
        }
        return out;
    }

    unsigned controls() const { return controls_; }
    unsigned entries() const { return entries_; }
    address control(unsigned i) const { return {control_ip(i), base_port_ + 2}; }
    address directory(unsigned i) const { return {control_ip(i), base_port_ + 3}; }
    address entry(unsigned i) const { return {entry_ip(i), base_port_}; }
    address readiness(unsigned i) const { return {entry_ip(i), base_port_ + 1}; }
    /// Addresses for stand-ins, each used once.
    address backend_address(unsigned i) const
    {
        return {"127.0.33." + std::to_string(1 + i), base_port_ + 20};
    }
    static std::string zone_of(unsigned i) { return zones()[i % zones().size()].first; }

private:
    static std::vector<std::pair<std::string, std::string>> const& zones()
    {
        static std::vector<std::pair<std::string, std::string>> const out{
            {"north-a", "north"}, {"central-a", "central"}, {"south-a", "south"},
            {"north-b", "north"}, {"central-b", "central"}, {"south-b", "south"}};
        return out;
    }
    static std::string control_ip(unsigned i) { return "127.0.31." + std::to_string(10 + i); }
    static std::string entry_ip(unsigned i) { return "127.0.32." + std::to_string(10 + i); }

    static bool is_free(std::string const& ip, unsigned port)
    {
        int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in const at = to_sockaddr({ip, port});
        int const on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        bool const out = ::bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) == 0;
        ::close(fd);
        return out;
    }
    unsigned free_base_port() const
    {
        for (unsigned base = 20000 + static_cast<unsigned>(::getpid()) % 200 * 40; base < 32000;
             base += 40)
        {
            bool all = true;
            for (unsigned port = base; port < base + 40 && all; ++port)
            {
                for (unsigned i = 0; i < controls_ && all; ++i)
                    all = is_free(control_ip(i), port);
                for (unsigned i = 0; i < entries_ && all; ++i)
                    all = is_free(entry_ip(i), port);
            }
            if (all)
                return base;
        }
        std::fprintf(stderr, "no free ports\n");
        std::exit(2);
    }
    std::string common(std::string const& name, std::string const& ip, unsigned i) const
    {
        std::string seeds;
        for (unsigned const at : seeds_)
            seeds += (seeds.empty() ? "" : ",") + control(at).text();
        std::string out = "node_name=" + name + "\nip=" + ip + "\nzone=" + zone_of(i) +
                          "\nregion=" + zones()[i % zones().size()].second + "\n";
        for (auto const& [zone, region] : zones())
            out += "zones." + zone + "=" + region + "\n";
        return out + "internal_ports=" + std::to_string(base_port_ + 8) + "," +
               std::to_string(base_port_ + 15) + "\nseeds=" + seeds +
               "\nlimits.cpu_share=0.2\nlimits.cores=1\nlimits.link_mbps=1000.0\n"
               "discovery=registration\nentry_point=directory\nheartbeat_ms=1500\n"
               "contracts=base,drain,config,cost,retry,recover,places\n"
               "fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=1\n"
               "bounds=seed_lag_s=3,reuse_after_s=2,contact_ms=4000,ack_ms=5000,sync_s=4,"
               "drain_ms=2500,grace_s=6,loss_slack_ms=200,config_apply_ms=2500,back_ms=250,"
               "max_stretch_ms=6000,retry_budget=0.2,budget_window_s=10,budget_extra=64,"
               "warmup_overshoot=1.5,warmup_slack=5,evacuate_ms=5000,recovery_s=15,ttl_max_s=5,"
               "max_region_shift=0.15\n";
    }
    void spawn(std::string const& name, std::string const& settings)
    {
        std::string const path = folder_ + "/" + name + ".conf";
        std::ofstream(path) << settings;
        std::string const log = folder_ + "/" + name + ".log";
        std::string const variable = "GUAVASHED_NODE_FILE=" + path;
        pid_t const parent = ::getpid();
        pid_t const pid = ::fork();
        if (pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(2);
            int const out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            char* const arguments[] = {const_cast<char*>(binary_.c_str()), nullptr};
            char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
            ::execve(binary_.c_str(), arguments, environment);
            ::_exit(127);
        }
        running_[name] = pid;
    }

    std::string binary_;
    std::string folder_;
    unsigned controls_;
    unsigned entries_;
    unsigned base_port_;
    std::vector<unsigned> seeds_{0, 1, 2};
    std::map<std::string, pid_t> running_;
};

/// Sends a call to control machines in turn until one answers it with anything but a 5xx, 408 or
/// 429, as callers of the control plane do. Returns the status, 0 if there was none in time.
inline int call_control(platform const& fleet, std::string const& method, std::string const& target,
                        std::string const& body, double limit_s, unsigned first = 0)
{
    double const until = now_s() + limit_s;
    double pause = 0.05;
    for (unsigned i = first; now_s() < until; ++i)
    {
        auto const answer = call(fleet.control(i % fleet.controls()), method, target, body);
        int const status = answer ? answer->status() : 0;
        if (status != 0 && status < 500 && status != 408 && status != 429)
            return status;
        sleep_s(pause);
        pause = std::min(pause * 2, 0.5);
    }
    return 0;
}

/// A sound backend: runs each request that names it, echoes its id, signs its answer, sends
/// heartbeats, and rejects what was sent to another instance or doesn't fit.
class backend
{
public:
    static constexpr char const* health_path = "/health";
    struct settings
    {
        std::string id;
        std::string service;
        std::string zone;
        address listen;
        unsigned slots = 4;
        unsigned queue = 12;
        double work_s = 0.04;
        /// For how long it is cold after its start.
        double cold_s = 0;
    };
    struct run
    {
        double at = 0;
        std::string id;
        std::string method;
        std::string target;
        bool was_cold = false;
    };

    backend(platform const& fleet, record& log, settings of)
        : fleet_(fleet), log_(log), settings_(std::move(of)),
          born_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count())
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in const at = to_sockaddr(settings_.listen);
        if (::bind(listener_, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0 ||
            ::listen(listener_, 256) != 0)
        {
            std::fprintf(stderr, "cannot listen on %s\n", settings_.listen.text().c_str());
            std::exit(2);
        }
        acceptor_ = std::thread([this] { accept(); });
        beater_ = std::thread([this] { beat_on(); });
    }
    backend(backend const&) = delete;
    ~backend()
    {
        stopping_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        beater_.join();
        acceptor_.join();
        {
            std::lock_guard const guard(mutex_);
            for (int const fd : open_)
                ::shutdown(fd, SHUT_RDWR);
        }
        for (auto& session : sessions_)
            session.join();
        ::close(listener_);
    }

    settings const& of() const { return settings_; }
    long long born_ms() const { return born_ms_; }
    std::vector<run> runs() const
    {
        std::lock_guard const guard(mutex_);
        return runs_;
    }
    unsigned acknowledged_beats() const { return acknowledged_; }

private:
    std::string beat()
    {
        return "{\"address\":\"" + settings_.listen.text() +
               "\",\"born\":" + std::to_string(born_ms_) + ",\"info\":{\"service\":\"" +
               settings_.service + "\",\"version\":\"v1\",\"zone\":\"" + settings_.zone +
               "\",\"concurrency_limit\":" + std::to_string(settings_.slots) +
               "},\"status\":{\"state\":\"ready\",\"sequence\":" + std::to_string(++sequence_) +
               ",\"warmup_left_ms\":" + std::to_string(cold_left_ms()) + "}}";
    }
    long long cold_left_ms() const
    {
        return std::max(0LL,
                        static_cast<long long>((started_ + settings_.cold_s - now_s()) * 1000));
    }
    void beat_on()
    {
        while (!stopping_)
        {
            for (unsigned tries = 0; tries < fleet_.controls() && !stopping_; ++tries)
            {
                auto const answer = call(fleet_.control(control_ % fleet_.controls()), "PUT",
                                         "/v1/instances/" + settings_.id, beat());
                if (answer && answer->status() / 100 == 2)
                {
                    ++acknowledged_;
                    break;
                }
                ++control_;
            }
            for (int i = 0; i < 15 && !stopping_; ++i)
                sleep_s(0.1);
        }
    }
    void accept()
    {
        while (!stopping_)
        {
            int const fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            int const on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::lock_guard const guard(mutex_);
            open_.insert(fd);
            sessions_.emplace_back([this, fd] { serve(fd); });
        }
    }
    void serve(int fd)
    {
        {
            connection line(fd);
            while (!stopping_)
            {
                auto const request = read_message(line, now_s() + 10);
                if (!request || !line.write(answer(*request), 5))
                    break;
            }
            std::lock_guard const guard(mutex_);
            open_.erase(fd);
        }
    }
    std::string answer(message const& request)
    {
        std::string const id = request.field("x-guavashed-request-id");
        std::string const echo = "X-Guavashed-Request-Id: " + id + "\r\n";
        std::string const target = request.field("x-guavashed-target-instance");
        if (!target.empty() && target != settings_.id)
            return "HTTP/1.1 421 Misdirected Request\r\n" + echo +
                   "X-Guavashed-Instance-Id: " + settings_.id + "\r\nContent-Length: 0\r\n\r\n";
        if (in_work_++ >= settings_.slots + settings_.queue)
        {
            --in_work_;
            return "HTTP/1.1 503 Service Unavailable\r\n" + echo +
                   "X-Guavashed-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
        {
            std::lock_guard const guard(mutex_);
            runs_.push_back({now_s(), id, request.method(), request.target(), cold_left_ms() > 0});
        }
        log_.line("run       id=" + id + " backend=" + settings_.id + " service=" +
                  settings_.service + " " + request.method() + " " + request.target());
        sleep_s(settings_.work_s);
        --in_work_;
        std::string const body = settings_.service + " answers " + id;
        std::string const health =
            request.target() != health_path
                ? std::string()
                : "X-Guavashed-Instance-Id: " + settings_.id +
                      "\r\nX-Guavashed-Warmup-Remaining: " + std::to_string(cold_left_ms()) +
                      "\r\n";
        return "HTTP/1.1 200 OK\r\n" + echo + health +
               "X-Guavashed-Response-Signature: " + settings_.id + "." + id +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    platform const& fleet_;
    record& log_;
    settings settings_;
    long long born_ms_;
    double started_ = now_s();
    int listener_ = -1;
    std::atomic<bool> stopping_{false};
    std::atomic<unsigned> in_work_{0};
    std::atomic<unsigned> acknowledged_{0};
    unsigned control_ = 0;
    std::uint64_t sequence_ = 0;
    mutable std::mutex mutex_;
    std::vector<run> runs_;
    std::set<int> open_;
    std::vector<std::thread> sessions_;
    std::thread acceptor_;
    std::thread beater_;
};

/// Waits until all entry machines say that they are ready; false if they don't within `limit_s`.
inline bool wait_ready(platform const& fleet, double limit_s)
{
    double const until = now_s() + limit_s;
    for (unsigned i = 0; i < fleet.entries();)
    {
        auto const answer = call(fleet.readiness(i), "GET", "/v1/readiness", "");
        if (answer && answer->status() == 200)
            ++i;
        else if (now_s() > until)
            return false;
        else
            sleep_s(0.1);
    }
    return true;
}

} // namespace stand
