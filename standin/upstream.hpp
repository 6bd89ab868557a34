/// \file
/// Defines upstream, a simulated service instance with concurrency slots, randomised service times,
/// cold start, load shedding, cancellation, and a ledger of the idempotency keys that it ran.
#pragma once

#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <map>
#include <random>
#include <unordered_map>

namespace standin
{

struct upstream_settings
{
    std::string name;
    std::string service;
    std::string region;
    std::string domain;
    std::string address;
    unsigned slots = 4;
    double service_ms = 40;
    /// Fraction of the mean service time that is exponentially distributed; the rest is constant.
    double spread = 0.5;
    /// Factor on the service time while caches are cold, and the number of requests that it lasts.
    double cold_factor = 1;
    unsigned cold_work = 0;
    /// Fraction of responses replaced by a fault: a response with another request's id, no
    /// response, or status 500. For fault injection runs.
    double fault_share = 0;
    /// Addresses of entry hosts to which announcements are sent initially and after failures.
    std::vector<std::string> seeds;
    /// File to which the key of each keyed request is appended as it starts; empty for none.
    std::string ledger_path;
    std::uint64_t seed = 1;
};

struct upstream_totals
{
    /// Requests started.
    std::uint64_t ran = 0;
    /// Requests received while all slots were in use.
    std::uint64_t overruns = 0;
    /// Starts of a keyed request whose key had run before.
    std::uint64_t doubled = 0;
    /// Unkeyed requests cancelled because the home abandoned them.
    std::uint64_t cancelled = 0;
    /// Requests rejected without being started.
    std::uint64_t shed = 0;
    /// Requests received more than 2 s after `leave`.
    std::uint64_t late_work = 0;
    /// Requests in flight when the process exited.
    std::uint64_t cut_at_exit = 0;
    std::uint64_t max_in_flight = 0;
};

/// Runs on the event loop given. Thread safety: only for use on that event loop's thread.
class upstream : public guavashed::http_handler
{
public:
    upstream(guavashed::event_loop& owner, upstream_settings settings);

    bool start();
    /// Announces that it is leaving; `finished` returns true once no request is in flight.
    void leave();
    bool finished() const { return leaving_ && in_flight_ == 0; }
    upstream_totals totals() const { return totals_; }
    unsigned in_flight() const { return in_flight_; }

    void on_request(guavashed::http_request request,
                    std::shared_ptr<guavashed::http_exchange> exchange) override;

private:
    struct work;

    void announce();
    void schedule_announce();
    void on_announced(std::string const& to, guavashed::http_outcome const& outcome);
    void select_next_seed();
    void run(std::shared_ptr<work> item);
    void finish(std::shared_ptr<work> const& item);
    double draw_service_ms();

    guavashed::event_loop& owner_;
    upstream_settings settings_;
    guavashed::http_server server_;
    guavashed::http_client client_;
    boost::asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::ofstream ledger_;
    std::unordered_map<std::string, unsigned> ran_keys_;
    std::map<std::string, unsigned> in_flight_by_home_;
    std::uint64_t incarnation_ = 0;
    std::string target_;
    std::string home_;
    std::string home_name_;
    std::uint64_t acceptance_ = 0;
    std::vector<std::string> others_;
    bool redirected_ = false;
    guavashed::instant lease_until_;
    guavashed::instant leaving_since_;
    bool leaving_ = false;
    bool announced_leaving_ = false;
    unsigned in_flight_ = 0;
    unsigned cold_left_ = 0;
    std::size_t next_seed_ = 0;
    upstream_totals totals_;
};

} // namespace standin
