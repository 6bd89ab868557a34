// Tests that the limit of a workspace holds over all entry hosts, and that requests within it pass.
#include "correctness/access/quota_harness.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace guavashed;

namespace
{

constexpr quota_settings usual{5, 0.1, 20};

} // namespace

// Guards against requests refused although the workspace keeps to its limit.
SCENARIO("requests within the limit pass")
{
    SECTION("three requests per second, each by another of 68 hosts, of a limit of five")
    {
        quota_harness fleet(68, limited(5, 5), usual);
        fleet.run(300, 3);
        CHECK(fleet.refused + fleet.timed_out <= fleet.arrived * 0.01);
        CHECK(fleet.held_sum_ms <= fleet.arrived * 100);
    }
    SECTION("a large workspace at 0.9 of its limit, with 2% of messages lost")
    {
        quota_harness fleet(68, limited(895, 895), usual);
        fleet.loss = 0.02;
        fleet.run(20, 805);
        CHECK(fleet.refused + fleet.timed_out <= fleet.arrived * 0.001);
        CHECK(fleet.asked <= fleet.arrived * 0.06);
    }
    SECTION("a workspace at 0.8 of its limit while the leader changes")
    {
        quota_harness fleet(68, limited(895, 895), usual);
        fleet.run(5, 716);
        fleet.change_leader();
        fleet.run(5, 716);
        CHECK(fleet.refused + fleet.timed_out <= fleet.arrived * 0.02);
    }
}

// Guards against a limit that floods or failures exceed, or under which some hosts starve.
SCENARIO("requests beyond the limit are refused at once")
{
    quota_harness fleet(68, limited(895, 895), usual);
    fleet.run(5, 447);
    SECTION("eight times the limit, from one moment to the next")
    {
        fleet.run(10, 7'160);
        CHECK(fleet.most_in_window() <= fleet.bound());
        CHECK(fleet.ran.size() >= 447 * 5 + 895 * 9);
        CHECK(fleet.asked + fleet.timed_out <= fleet.arrived * 0.05);
        for (auto const& host : fleet.hosts)
            CHECK(host.account->admitted_total() >= fleet.ran.size() / 68 / 4);
    }
    SECTION("half of the hosts are cut off at the start of a flood")
    {
        for (std::size_t i = 0; i < 34; ++i)
            fleet.hosts[i].connected = false;
        fleet.run(10, 7'160);
        CHECK(fleet.most_in_window() <= fleet.bound());
        CHECK(fleet.ledger.find(tested_workspace)->charged_unreported() > 0);
    }
    SECTION("the leader changes in the flood")
    {
        fleet.run(1, 7'160);
        fleet.change_leader();
        fleet.run(10, 7'160);
        CHECK(fleet.most_in_window() <= fleet.bound());
    }
    SECTION("the leader changes in a pause before the flood, and lines of the former are unspent")
    {
        fleet.run(5, 805);
        fleet.change_leader();
        fleet.run(1.1, 0);
        fleet.run(10, 7'160);
        CHECK(fleet.most_in_window() <= fleet.bound());
    }
    SECTION("a limit that is lowered holds one window after the change")
    {
        fleet.run(2, 1'790);
        fleet.configure(limited(100, 100));
        fleet.run(5, 1'790);
        fleet.ran.clear();
        fleet.run(10, 1'790);
        CHECK(fleet.most_in_window() <= fleet.bound());
        CHECK(fleet.ran.size() >= 900);
    }
}

// Guards against too much in any window whatever the demand, the network and the failures.
SCENARIO("no sliding window holds more admissions than the limit allows")
{
    rc::prop(
        "random load, delays, losses, refunds, restarts, cut-off hosts and changes of the leader",
        [](std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            auto const between = [&](double low, double high)
            { return std::uniform_real_distribution<>(low, high)(random); };
            double const rate = std::exp(between(std::log(5.0), std::log(900.0)));
            quota_harness fleet(2 + random() % 67, limited(rate, rate * between(0, 1.5)), usual,
                                seed);
            fleet.max_delay_ms = static_cast<unsigned>(between(0, 200));
            fleet.loss = random() % 2 ? between(0, 0.2) : 0;
            fleet.refunds = random() % 2 ? between(0, 0.4) : 0;
            for (int phase = 0; phase < 12; ++phase)
            {
                for (auto& host : fleet.hosts)
                {
                    if (random() % 4 == 0)
                        host.connected = !host.connected;
                    if (random() % 16 == 0)
                        fleet.restart(host);
                }
                if (random() % 4 == 0)
                    fleet.change_leader();
                std::size_t const used = 1 + random() % fleet.hosts.size();
                fleet.run(between(0.2, 4), rate * std::exp(between(std::log(0.1), std::log(8.0))),
                          [&] { return random() % used; });
            }
            RC_ASSERT(static_cast<double>(fleet.most_in_window()) <= fleet.bound());
        });
}
