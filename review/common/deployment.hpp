/// \file
/// Defines deployment, which runs the processes of a small deployment on loopback, and the blocking
/// HTTP client, the operator and the record that the cases use.
#pragma once

#include "child_processes.hpp"
#include "platform_upstream.hpp"

#include <chrono>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Bounds of the site mauri-gelee.
constexpr milliseconds contact{4000};
constexpr milliseconds evacuate_bound{5000};

void sleep_ms(int ms);
/// True unless the variable TROUBLE is "0".
bool trouble();

/// Appends lines with the seconds since its start to a file. Thread safe.
class record
{
public:
    explicit record(std::string const& path);
    void line(std::string const& text);
    double seconds() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    clock::time_point start_;
};

struct http_reply
{
    /// 0 without a complete response.
    unsigned status = 0;
    std::string head;
    std::string body;
    /// Bytes after the response.
    std::string rest;
    /// The value of a field in `head`; empty without one.
    std::string field(std::string const& name) const;
};

/// A blocking TCP connection. Thread safety: none.
class connection
{
public:
    connection() = default;
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    ~connection();
    bool open(std::string const& address, milliseconds limit);
    bool send(std::string const& bytes);
    /// Reads one response. `head_only`: the request was a HEAD, whose response has no body.
    http_reply read(milliseconds limit, bool head_only = false);
    /// Reads whatever arrives within `limit`, until the peer closes.
    std::string drain(milliseconds limit);
    void close();
    bool is_open() const { return socket_ >= 0; }

private:
    bool receive(clock::time_point until);
    int socket_ = -1;
    bool ended_ = false;
    std::string buffer_;
};

/// One request on a connection of its own.
http_reply request(std::string const& address, std::string const& method, std::string const& target,
                   std::string const& fields, std::string const& body, milliseconds limit);

struct deployment_options
{
    std::string folder;
    std::string binary;
    unsigned controls = 5;
    unsigned edges = 3;
    unsigned memory_mb = 260;
    unsigned route_timeout_ms = 1000;
};

/// Control hosts and entry hosts as processes, each with an address of its own in 127.0.0.0/8.
/// Zones are north-a, south-a, north-b and south-b in rotation. Thread safety: none.
class deployment
{
public:
    deployment(deployment_options options, record& log);
    ~deployment();

    /// Kills all processes that are running.
    void end_processes();
    /// Starts all processes and sends the first configuration until it is acknowledged.
    bool start();
    void start_control(unsigned i, bool bootstrap);
    void start_edge(unsigned i);
    bool wait_ready(int limit_s);

    /// The service is "roster"; the routes are /check/ (safe) and /confirm/ (unsafe).
    std::string document(unsigned version, unsigned base) const;
    /// Sends an order as operators do: to the given host first, then to the next ones after a
    /// failure, a 5xx or a second without a response. Returns the status that ended the call.
    unsigned order(unsigned first, std::string const& method, std::string const& target,
                   std::string const& body, milliseconds limit);

    std::string control_address(unsigned i) const;
    std::string edge_address(unsigned i) const;
    std::string readiness_address(unsigned i) const;
    std::string upstream_address(unsigned i) const;
    std::vector<std::string> control_addresses() const;
    standin::platform_upstream_settings upstream_settings(unsigned i) const;
    static std::string zone_of(unsigned i);
    static std::string region_of(unsigned i);
    /// Index of the control host that leads, by its metrics.
    std::optional<unsigned> leader() const;

    fleet_test::child_processes& processes() { return processes_; }
    static std::string control_name(unsigned i) { return "core-" + std::to_string(i); }
    static std::string edge_name(unsigned i) { return "edge-" + std::to_string(i); }
    deployment_options const& options() const { return options_; }

private:
    std::string settings(std::string const& name, std::string const& ip, unsigned place) const;
    void spawn(std::string const& name, std::string const& text);
    std::string at(std::string const& ip, unsigned offset) const;

    deployment_options options_;
    record& log_;
    unsigned port_ = 0;
    fleet_test::child_processes processes_;
};

/// Runs the case; exit code 2 when it cannot run.
int guarded_main(int argc, char** argv,
                 int (*run)(std::string const& binary, std::string const& folder, record& log));

} // namespace review
