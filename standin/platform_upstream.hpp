/// \file
/// Defines platform_upstream, a simulated upstream that implements the protocol of the users'
/// platform.
#pragma once

#include "base/event_loop.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standin
{

/// Paths below this are answered with files.
inline constexpr char const* file_prefix = "/files/";
/// The file that an upstream answers a request with. Thread safe.
std::string file_of(std::string const& request_id, std::size_t bytes);

struct platform_upstream_settings
{
    std::string id;
    std::string service;
    std::string domain;
    /// Listening address, and the address that it announces; they differ when a relay is in
    /// between.
    std::string listen;
    std::string announced;
    std::vector<std::string> controls;
    unsigned slots = 4;
    /// Requests that may wait for a free slot; further ones are rejected.
    unsigned queue = 12;
    unsigned work_ms = 40;
    unsigned announce_interval_ms = 300;
    unsigned warmup_ms = 0;
    std::size_t file_bytes = 0;
    /// Fraction of requests that are executed but never answered.
    double unanswered_share = 0;
    /// Fraction of requests that are rejected without being executed, regardless of load.
    double shed_share = 0;
    /// Fraction of requests that are rejected with a pause, whose length is drawn between the
    /// bounds; all requests are rejected until it ends.
    double pause_share = 0;
    unsigned least_pause_ms = 200;
    unsigned most_pause_ms = 3000;
    std::uint64_t seed = 1;
};

/// Events that the upstream observed; times are of the boot clock.
struct platform_upstream_record
{
    struct arrival
    {
        std::string id;
        guavashed::instant at;
        bool ran = false;
        /// The answer stated that the upstream leaves.
        bool stated_leaving = false;
        /// End of the pause that the rejection asked for.
        std::optional<guavashed::instant> paused_until;
        /// The fields of the request that concern the caller's access, as "name: value".
        std::vector<std::string> access_fields;
    };
    std::string upstream;
    std::vector<arrival> arrivals;
    /// When a control host first acknowledged the announcement of the drain.
    std::optional<guavashed::instant> drain_acknowledged;
    /// Requests addressed to another instance, which were rejected with status 421.
    std::uint64_t misdirected = 0;
    /// Requests abandoned by the entry host before the response.
    std::uint64_t cancelled = 0;
};

/// Runs on its own event loop thread. Thread safety: all methods are thread safe.
class platform_upstream : public guavashed::http_handler
{
public:
    explicit platform_upstream(platform_upstream_settings settings);
    ~platform_upstream() override;

    guavashed::result<void> start();
    /// Announces the draining state from now on; requests are still served.
    void drain();
    /// States in all answers from now on that it leaves; the announcements stay as they are.
    void state_leaving();
    /// Rejects all requests until `until`, and asks for a pause until then.
    void pause(guavashed::instant until);
    /// Stops immediately without responding to requests in flight.
    void crash();
    platform_upstream_record record() const;
    std::string const& id() const { return settings_.id; }

    void on_request(guavashed::http_request request,
                    std::shared_ptr<guavashed::http_exchange> exchange) override;

private:
    struct work
    {
        std::string id;
        /// Index of its arrival in the record.
        std::size_t arrival = 0;
        bool is_file = false;
        guavashed::instant deadline;
        std::shared_ptr<guavashed::http_exchange> exchange;
        std::unique_ptr<boost::asio::steady_timer> timer;
        bool abandoned = false;
    };
    void announce();
    void schedule_announcement();
    std::string announcement() const;
    void start_work(std::shared_ptr<work> const& item);
    /// Starts requests that wait while slots are free, and rejects those whose deadline has passed.
    void start_waiting();
    void finish(std::shared_ptr<work> const& item);
    std::string load() const;
    bool draw(double share);
    /// Rejects the request and asks for a pause, if one is due.
    bool reject_for_pause(std::string const& id, guavashed::http_exchange& exchange);
    guavashed::http_response with_statements(guavashed::http_response answer) const;

    platform_upstream_settings settings_;
    std::int64_t start_wall_ms_;
    guavashed::instant started_;
    std::mt19937_64 random_;
    std::uint64_t sequence_ = 0;
    std::size_t control_index_ = 0;
    bool draining_ = false;
    bool states_leaving_ = false;
    guavashed::instant paused_until_;
    unsigned running_ = 0;
    std::deque<std::shared_ptr<work>> waiting_;
    /// Requests that have been neither answered nor abandoned by the entry host.
    std::set<std::shared_ptr<work>> pending_;
    mutable std::mutex mutex_;
    platform_upstream_record record_;
    std::unique_ptr<guavashed::event_loop> event_loop_;
    std::unique_ptr<guavashed::http_server> server_;
    std::unique_ptr<guavashed::http_client> client_;
    std::unique_ptr<boost::asio::steady_timer> timer_;
};

} // namespace standin
