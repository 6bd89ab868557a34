// Tests of the lease of keys and of limits with the platform daemon as real processes.
#include "fleet_options.hpp"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <thread>

using namespace fleet_test;
using namespace guavashed;

namespace
{

constexpr milliseconds revoke_time{3000};
std::string const both_keys =
    R"({"crown":{"api_keys":["key-one","key-two"]},"field":{"api_keys":["key-three"]}})";
std::string const one_key =
    R"({"crown":{"api_keys":["key-one"]},"field":{"api_keys":["key-three"]}})";

platform_fleet_options options_of(std::string const& name, unsigned base_port)
{
    platform_fleet_options options = fleet_options("platform-" + name, base_port);
    options.controls = 3;
    options.entries = 2;
    return options;
}

void pause_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// Sends a request with that key, or with none when it is empty.
std::optional<http_response> ask(platform_fleet& fleet, unsigned entry, std::string const& target,
                                 std::string const& key)
{
    static std::atomic<unsigned> last_id{0};
    http_request request;
    request.method = "GET";
    request.target = target;
    request.fields = {{"Host", "roster.example"},
                      {"X-Guavashed-Request-Id", "t" + std::to_string(++last_id)}};
    if (!key.empty())
        request.fields.push_back({"Api-Key", key});
    return fleet.call_entry(entry, std::move(request));
}

unsigned status_of(std::optional<http_response> const& answer)
{
    return answer ? answer->status : 0;
}

/// Requests until one gets `status`; returns the time that this took, empty if it did not within
/// `limit`.
std::optional<milliseconds> await_status(platform_fleet& fleet, std::string const& key,
                                         unsigned status, milliseconds limit)
{
    instant const start = instant::clock::now();
    for (;;)
    {
        instant const sent_at = instant::clock::now();
        if (status_of(ask(fleet, 0, "/check/1", key)) == status)
            return std::chrono::duration_cast<milliseconds>(sent_at - start);
        if (sent_at > start + limit)
            return std::nullopt;
        pause_ms(20);
    }
}

void signal_controls(platform_fleet& fleet, int number)
{
    for (unsigned i = 0; i < fleet.options().controls; ++i)
        fleet.processes().signal(fleet.control_name(i), number);
}

} // namespace

// Guards against a removed key that an entry host goes on accepting because it did not hear of the
// change, and against callers that lose requests through a short loss of contact.
SCENARIO("an entry host without contact accepts keys no longer than the revocation time")
{
    auto options = options_of("leases", 25000);
    options.tenants = both_keys;
    options.extra_bounds = ",strict_revoke=true,revoke_ms=" + std::to_string(revoke_time.count());
    platform_fleet fleet(options);
    REQUIRE(fleet.start());
    REQUIRE(await_status(fleet, "key-two", 200, milliseconds(2000)));
    CHECK(status_of(ask(fleet, 0, "/check/1", "key-none")) == 401);
    CHECK(status_of(ask(fleet, 0, "/check/1", "")) == 401);
    CHECK(status_of(ask(fleet, 0, "/open/1", "")) == 200);

    WHEN("all control hosts stand still")
    {
        instant const lost_at = instant::clock::now();
        signal_controls(fleet, SIGSTOP);
        auto const ended = await_status(fleet, "key-two", 503, revoke_time);
        auto const refusal = ask(fleet, 0, "/check/1", "key-two");
        THEN("keys are usable for 0.6 of the time, then no more, and other answers go on")
        {
            REQUIRE(ended);
            CHECK(*ended >= revoke_time * 6 / 10);
            REQUIRE(refusal);
            CHECK(refusal->status == 503);
            CHECK_FALSE(refusal->field("Retry-After").empty());
            CHECK(status_of(ask(fleet, 0, "/check/1", "key-none")) == 503);
            CHECK(status_of(ask(fleet, 0, "/open/1", "")) == 200);
            CHECK(status_of(ask(fleet, 0, "/nowhere", "")) == 404);
            CHECK(instant::clock::now() > lost_at);
        }
        signal_controls(fleet, SIGCONT);
        CHECK(await_status(fleet, "key-two", 200, milliseconds(4000)));
        // Lines are written by a thread of their own.
        pause_ms(500);
        CHECK(fleet.log_of("e0").find("event=lease_lost") != std::string::npos);
        CHECK(fleet.log_of("e0").find("event=lease_regained") != std::string::npos);
    }
    WHEN("a key is removed while an entry host is suspended")
    {
        fleet.processes().signal(fleet.entry_name(0), SIGSTOP);
        fleet.set_tenants(one_key);
        REQUIRE(fleet.configure(2));
        pause_ms(static_cast<int>(revoke_time.count()));
        fleet.processes().signal(fleet.entry_name(0), SIGCONT);
        THEN("it never accepts the key again, and soon accepts others")
        {
            for (unsigned i = 0; i < 50; ++i)
            {
                unsigned const status = status_of(ask(fleet, 0, "/check/1", "key-two"));
                CHECK((status == 503 || status == 401));
                pause_ms(10);
            }
            CHECK(await_status(fleet, "key-one", 200, milliseconds(4000)));
            CHECK(status_of(ask(fleet, 0, "/check/1", "key-two")) == 401);
        }
    }
    WHEN("a key is removed, and then the leader is killed")
    {
        fleet.set_tenants(one_key);
        REQUIRE(fleet.configure(2));
        instant const acknowledged_at = instant::clock::now();
        unsigned const leader = fleet.leader();
        fleet.processes().signal(fleet.control_name(leader), SIGKILL);
        fleet.processes().await(fleet.control_name(leader), 5);
        THEN("valid keys are accepted throughout, and the removed one within its time at most")
        {
            while (instant::clock::now() < acknowledged_at + revoke_time + milliseconds(1000))
            {
                CHECK(status_of(ask(fleet, 0, "/check/1", "key-one")) == 200);
                bool const is_late = instant::clock::now() > acknowledged_at + revoke_time;
                unsigned const status = status_of(ask(fleet, 0, "/check/1", "key-two"));
                if (is_late)
                    CHECK(status == 401);
                pause_ms(50);
            }
        }
    }
}

// Guards against a limit that each entry host grants in full, and against one that admits far less
// than was agreed.
SCENARIO("a limit holds over all entry hosts together")
{
    // A new leader knows neither what was used nor which credit is in use.
    bool const leader_dies = GENERATE(false, true);
    CAPTURE(leader_dies);
    constexpr double rate = 40;
    constexpr double burst = 40;
    constexpr double window_s = 2;
    constexpr double most = (rate * window_s + burst) * 1.1 + 20;
    auto options = options_of("limits", 25200);
    options.entries = 3;
    options.tenants = R"({"crown":{"api_keys":["key-one"],"rate_per_s":40,"burst":40},)"
                      R"("field":{"api_keys":["key-two"]}})";
    options.extra_bounds = ",quota_window_s=2,quota_overshoot=0.1,quota_slack=20";
    platform_fleet fleet(options);
    REQUIRE(fleet.start());

    // Each entry host is offered more than the whole limit.
    std::vector<std::thread> callers;
    std::vector<std::map<unsigned, unsigned>> statuses(options.entries);
    instant const end = instant::clock::now() + milliseconds(6000);
    for (unsigned i = 0; i < options.entries; ++i)
        callers.emplace_back(
            [&, i]
            {
                while (instant::clock::now() < end)
                {
                    auto const answer = ask(fleet, i, "/check/1", "key-one");
                    ++statuses[i][status_of(answer)];
                    if (answer && answer->status == 429 && answer->field("Retry-After").empty())
                        ++statuses[i][0];
                    pause_ms(5);
                }
            });
    if (leader_dies)
    {
        pause_ms(2000);
        fleet.processes().signal(fleet.control_name(fleet.leader()), SIGKILL);
    }
    for (auto& caller : callers)
        caller.join();
    CHECK(status_of(ask(fleet, 0, "/check/1", "key-two")) == 200);

    std::vector<instant> ran;
    for (auto const& record : fleet.records())
        for (auto const& arrival : record.arrivals)
            if (arrival.ran)
                ran.push_back(arrival.at);
    std::sort(ran.begin(), ran.end());
    std::size_t first = 0;
    std::size_t worst = 0;
    for (std::size_t last = 0; last < ran.size(); ++last)
    {
        while (ran[first] + std::chrono::duration<double>(window_s) < ran[last])
            ++first;
        worst = std::max(worst, last - first + 1);
    }
    std::map<unsigned, unsigned> all;
    for (auto const& item : statuses)
        for (auto const& [status, count] : item)
            all[status] += count;
    for (auto const& [status, count] : all)
        UNSCOPED_INFO("status " << status << ": " << count);
    INFO("most in a window: " << worst << " of " << most);
    CHECK(static_cast<double>(worst) <= most);
    // An election takes up to 2 s, after which no credit is granted until that of before has ended.
    CHECK(all[200] >= rate * (leader_dies ? 2.5 : 6) * 0.7);
    CHECK(all[429] > 0);
    CHECK(all[0] == 0);
    pause_ms(500);
    CHECK(fleet.log_of("e0").find("outcome=over_limit") != std::string::npos);
}

// Guards against requests that use up a limit although no upstream ran them: their callers come
// back and would be refused for the limit.
SCENARIO("requests that no upstream ran use up no credit")
{
    auto options = options_of("refunds", 25400);
    options.entries = 1;
    options.tenants = R"({"crown":{"api_keys":["key-one"],"rate_per_s":5,"burst":5}})";
    options.extra_bounds = ",quota_window_s=2,quota_overshoot=0.1,quota_slack=20";
    options.shed_share = 1;
    platform_fleet fleet(options);
    REQUIRE(fleet.start());

    // Twice as many as the limit admits in that time, excess included.
    std::map<unsigned, unsigned> statuses;
    for (unsigned i = 0; i < 100; ++i)
    {
        ++statuses[status_of(ask(fleet, 0, "/check/1", "key-one"))];
        pause_ms(20);
    }
    for (auto const& [status, count] : statuses)
        UNSCOPED_INFO("status " << status << ": " << count);
    CHECK(statuses[503] == 100);
}
