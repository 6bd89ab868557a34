/// \file
/// Defines platform_caller, a load generator that acts as the callers of the users' platform.
#pragma once

#include "base/event_loop.hpp"
#include "transport/http_client.hpp"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace standin
{

struct platform_caller_settings
{
    std::string host;
    std::string idempotent_prefix;
    std::string unsafe_prefix;
    /// Addresses of the hosts that answer directory lookups.
    std::vector<std::string> lookup_addresses;
    /// Entry hosts to call without looking them up.
    std::vector<std::string> entries;
    std::string region;
    std::string domain;
    /// Requests per second.
    unsigned per_s = 100;
    unsigned deadline_ms = 2000;
    /// Number of distinct affinity keys among which requests are spread.
    unsigned affinity_key_count = 40;
    std::uint64_t seed = 1;
};

/// Outcome of one request.
struct platform_call
{
    bool at_most_once = false;
    /// HTTP status; 0 when no complete response was received.
    unsigned status = 0;
    /// Status 200 with the body and the signature that belong to this request.
    bool verified_response = false;
    /// False when no byte of the request was sent.
    bool sent = false;
    guavashed::instant at;
    double took_ms = 0;
    /// Address of the entry host.
    std::string entry;
    /// Empty when no key was sent.
    std::string key;
};

/// Sends requests at a constant rate to the entry hosts that lookups return, over persistent
/// connections.
/// Thread safety: all methods are thread safe.
class platform_caller
{
public:
    explicit platform_caller(platform_caller_settings settings);
    ~platform_caller();

    void start();
    /// Stops sending and waits up to 10 s until every request in flight has its outcome.
    void finish();
    /// Sends one of these keys with each request from now on, and a forged name of a workspace.
    void set_keys(std::vector<std::string> const& keys)
    {
        boost::asio::post(event_loop_.context(), [this, keys] { keys_ = keys; });
    }
    /// All requests sent so far, by request id.
    std::map<std::string, platform_call> calls() const;

private:
    void tick();
    void look_up();
    void send();
    void on_answer(std::string const& id, guavashed::http_outcome const& outcome);

    platform_caller_settings settings_;
    std::mt19937_64 random_;
    std::mt19937_64 key_random_{settings_.seed};
    std::vector<std::string> keys_;
    std::vector<std::string> entries_;
    guavashed::instant next_lookup_;
    std::size_t lookup_index_ = 0;
    std::uint64_t last_request_ = 0;
    bool stopping_ = false;
    mutable std::mutex mutex_;
    std::size_t in_flight_ = 0;
    std::map<std::string, platform_call> calls_;
    guavashed::event_loop event_loop_;
    guavashed::http_client client_;
    boost::asio::steady_timer timer_;
};

} // namespace standin
