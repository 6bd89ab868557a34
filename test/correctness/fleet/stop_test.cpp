// Guards against requests that a planned stop of their entry host cuts off without an answer.
#include "../../error/raw_caller.hpp"
#include "base/endpoint.hpp"
#include "fleet_options.hpp"
#include "platform_caller.hpp"
#include "platform_invariants.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <thread>

using namespace fleet_test;
using guavashed::instant;
using guavashed::milliseconds;

namespace
{

constexpr unsigned calls_per_s = 25;
constexpr unsigned deadline_ms = 4000;
/// Longest time from a caller's last byte to the end of a connection whose request was not read.
constexpr double loss_slack_ms = 200;

platform_fleet_options options_for(unsigned work_ms, double grace_s)
{
    platform_fleet_options options = fleet_options("stop", 24800);
    options.controls = 3;
    options.entries = 2;
    options.upstreams = 8;
    options.slots = 16;
    options.work_ms = work_ms;
    options.route_timeout_ms = deadline_ms;
    options.grace_s = grace_s;
    options.relays = true;
    return options;
}

/// Callers that keep calling one entry host, also after it was told to stop.
class stopping_host
{
public:
    explicit stopping_host(platform_fleet_options const& options)
        : fleet_(options), caller_(caller_settings())
    {
        REQUIRE(fleet_.start());
        caller_.start();
        // Long enough to learn how long the upstreams work.
        sleep(2000 + 2 * static_cast<int>(options.work_ms));
        stopped_ = instant::clock::now();
        fleet_.processes().signal("e0", SIGTERM);
    }

    static void sleep(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }
    platform_fleet& fleet() { return fleet_; }

    /// Waits until the process has ended, and checks what callers got.
    void finish()
    {
        CHECK(fleet_.processes().await("e0", fleet_.options().grace_s) == 0);
        CHECK(instant::clock::now() - stopped_ <
              milliseconds(static_cast<int>(fleet_.options().grace_s * 1000)));
        caller_.finish();
        auto const calls = caller_.calls();
        auto const report = check_invariants(calls, fleet_.records());
        for (auto const& violation : report.violations)
            UNSCOPED_INFO(violation);
        UNSCOPED_INFO(to_string(report.counts));
        CHECK(report.violations.empty());
        CHECK(report.counts.served > 0);
        std::map<std::string, std::size_t> arrivals;
        for (auto const& record : fleet_.records())
            for (auto const& arrival : record.arrivals)
                ++arrivals[arrival.id];
        std::size_t cut = 0;
        for (auto const& [id, call] : calls)
        {
            // A caller that gave up at its own deadline was not cut off.
            bool const is_unanswered = call.sent && call.status == 0 && call.took_ms < deadline_ms;
            if (!is_unanswered || (arrivals[id] == 0 && call.took_ms < loss_slack_ms))
                continue;
            ++cut;
            UNSCOPED_INFO(id << (call.at_most_once ? ", at most once," : "") << " sent "
                             << guavashed::remaining_ms(call.at, stopped_)
                             << " ms after the signal was cut after " << call.took_ms << " ms, "
                             << arrivals[id] << " arrivals");
        }
        CHECK(cut == 0);
    }

private:
    standin::platform_caller_settings caller_settings() const
    {
        auto settings = fleet_.caller_settings(calls_per_s);
        settings.entries = {fleet_.entry_endpoint(0).value()};
        settings.deadline_ms = deadline_ms;
        return settings;
    }

    platform_fleet fleet_;
    standin::platform_caller caller_;
    instant stopped_;
};

} // namespace

SCENARIO("a planned stop of an entry host leaves no request without an answer")
{
    GIVEN("upstreams that work for a short or a long part of the grace period")
    {
        unsigned const work_ms = GENERATE(700u, 2600u, 3500u);
        INFO("work_ms " << work_ms);
        stopping_host(options_for(work_ms, 6)).finish();
    }
    GIVEN("a grace period shorter than the work of upstreams")
    {
        auto const [work_ms, grace_s] =
            GENERATE(table<unsigned, double>({{700u, 1.0}, {700u, 2.0}, {2600u, 2.0}}));
        INFO("work_ms " << work_ms << ", grace_s " << grace_s);
        stopping_host(options_for(work_ms, grace_s)).finish();
    }
    GIVEN("links to the upstreams that fall silent during the stop")
    {
        stopping_host host(options_for(700, 6));
        stopping_host::sleep(1500);
        for (unsigned i = 0; i < host.fleet().options().upstreams; ++i)
            host.fleet().relay_of(i).set(relay_mode::one_way);
        host.finish();
    }
    GIVEN("an entry host that is paused during the stop")
    {
        stopping_host host(options_for(700, 6));
        stopping_host::sleep(700);
        host.fleet().processes().signal("e0", SIGSTOP);
        stopping_host::sleep(1500);
        host.fleet().processes().signal("e0", SIGCONT);
        host.finish();
    }
}

// Guards against look-ups and announcements that a control host has read and never answers.
SCENARIO("a planned stop of a control host leaves no request without an answer")
{
    platform_fleet fleet(options_for(30, 6));
    REQUIRE(fleet.start());
    unsigned const stopped = GENERATE(0u, 1u, 2u);
    auto const control = guavashed::parse_endpoint(fleet.control_endpoint(stopped)).value();
    std::atomic<bool> ended{false};
    std::atomic<int> answered{0};
    std::atomic<int> cut{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i)
        callers.emplace_back(
            [&]
            {
                while (!ended)
                {
                    auto const result = guavashed::call_once(
                        control,
                        "GET /v1/resolve?name=roster.example&region=north&zone=north-a "
                        "HTTP/1.1\r\nHost: c\r\n\r\n",
                        "ttl_s");
                    answered += result == guavashed::call_result::answered ? 1 : 0;
                    std::this_thread::sleep_for(milliseconds(1));
                    cut += result == guavashed::call_result::cut ? 1 : 0;
                }
            });
    stopping_host::sleep(300);
    fleet.processes().signal(fleet.control_name(stopped), SIGTERM);
    CHECK(fleet.processes().await(fleet.control_name(stopped), 6) == 0);
    ended = true;
    for (auto& item : callers)
        item.join();
    CHECK(answered > 100);
    CHECK(cut == 0);
}
