// Tests that the limit of a workspace holds over all entry hosts, and that requests within it pass.
#include "correctness/access/quota_harness.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace guavashed;

namespace
{

constexpr quota_settings usual{5, 0.1, 20};

} // namespace

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
