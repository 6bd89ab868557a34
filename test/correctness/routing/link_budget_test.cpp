// Tests of admission control for a link of limited bandwidth.
#include "routing/link_budget.hpp"

#include <catch2/catch.hpp>

namespace guavashed
{
namespace
{

struct offered_route
{
    std::string name;
    std::uint32_t priority;
    std::uint32_t objective_ms;
    double per_s;
    std::size_t answer_bytes;
    double offered = 0;
    double admitted = 0;
    double due = 0;

    double share() const { return offered > 0 ? admitted / offered : 1; }
};

/// Offers requests at the routes' constant rates for `seconds`; returns the longest queue in ms.
double offer(link_budget& budget, std::vector<offered_route>& routes, instant& now, double seconds)
{
    double longest = 0;
    for (int step = 0; step < seconds * 1000; ++step)
    {
        now += milliseconds(1);
        for (auto& route : routes)
        {
            route.due += route.per_s / 1000;
            for (; route.due >= 1; route.due -= 1)
            {
                ++route.offered;
                if (!budget.admit({route.name, route.priority, route.objective_ms, 100}, now))
                    continue;
                ++route.admitted;
                budget.learn(route.name, route.answer_bytes);
            }
        }
        longest = std::max(longest, budget.queue_ms(now));
    }
    return longest;
}

// Guards against a burst on one route filling the link: its queue would delay the requests of a
// more important route past their objective, or starve a less important route.
TEST_CASE("a link of limited bandwidth serves important routes first and starves none")
{
    constexpr double link = 400000;
    instant now = instant() + std::chrono::hours(1);
    link_budget budget(link);
    std::vector<offered_route> routes{{"check", 0, 400, 40, 5000}, {"archive", 2, 2000, 20, 5000}};

    SECTION("every request is admitted while the link has capacity")
    {
        offer(budget, routes, now, 10);
        CHECK(routes[0].share() == 1);
        CHECK(routes[1].share() == 1);
    }
    SECTION("a burst on the less important route does not affect the other")
    {
        routes[1].per_s = 100;
        double const longest = offer(budget, routes, now, 10);
        CHECK(routes[0].share() > 0.98);
        // Half of the important route's objective, although the other route tolerates more.
        CHECK(longest < 200);
        double const bytes = (routes[0].admitted + routes[1].admitted) * 5000;
        CHECK(bytes < link * 10);
        CHECK(bytes > link * 10 * 0.7);
    }
    SECTION("the less important route does not starve during a burst on the other")
    {
        routes[0].per_s = 150;
        offer(budget, routes, now, 10);
        double const all =
            (routes[0].admitted + routes[1].admitted) / (routes[0].offered + routes[1].offered);
        // Each route must have at least a quarter of the admission rate of all requests.
        CHECK(routes[1].share() > all / 4);
        CHECK(routes[0].share() > all * 0.8);
    }
    SECTION("the queue drains at the link's rate")
    {
        routes[0].per_s = 300;
        offer(budget, routes, now, 2);
        double const queue = budget.queue_ms(now);
        REQUIRE(queue > 50);
        CHECK(budget.queue_ms(now + milliseconds(25)) == Approx(queue - 25).margin(1));
        CHECK(budget.queue_ms(now + milliseconds(1000)) == 0);
    }
    SECTION("an unlimited link refuses no request")
    {
        link_budget unlimited(0);
        routes[0].per_s = 5000;
        offer(unlimited, routes, now, 1);
        CHECK(routes[0].share() == 1);
    }
}

} // namespace
} // namespace guavashed
