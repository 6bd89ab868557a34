// Tests of Retry-After: callers refused together must find the cause gone, and not return as the
// next burst.
#include "routing/retry_hint.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace guavashed;

SCENARIO("a refused caller is told when to come back")
{
    GIVEN("a predicted end of the cause")
    {
        THEN("it comes back after that, within half of it again")
        {
            CHECK(retry_hint_ms({800, 6000}, 0) == 800);
            CHECK(retry_hint_ms({800, 6000}, 0.999) < 1200);
        }
    }
    GIVEN("a caller whose time is nearly up")
    {
        THEN("the hint is one that it follows: a third of the time left")
        {
            CHECK(retry_hint_ms({800, 900}, 0.5) == 300);
        }
    }
    GIVEN("a cause that has just passed, or none that can be predicted")
    {
        CHECK(retry_hint_ms({5, 6000}, 0) == 100);
        CHECK(retry_hint_ms({0, 6000}, 0) == 400);
        CHECK(retry_hint_ms({-20, 6000}, 0) == 400);
    }
}

SCENARIO("callers refused in one burst return spread out")
{
    // 600 callers refused within 100 ms by upstreams that will be free in 400 ms.
    std::mt19937 random(7);
    std::uniform_real_distribution<double> unit;
    std::vector<double> returns;
    for (int i = 0; i < 600; ++i)
        returns.push_back(100 * unit(random) + retry_hint_ms({400, 4000}, unit(random)));
    std::sort(returns.begin(), returns.end());
    CHECK(returns.front() >= 400);
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < returns.size(); ++last)
    {
        while (returns[last] - returns[first] > 50)
            ++first;
        most = std::max(most, last - first + 1);
    }
    // Spread evenly over the 300 ms that they may take, 100 would come back in any 50 ms.
    CHECK(most < 200);
}

// Guards against callers beyond a limit that come back before it admits them, or all at once.
SCENARIO("a caller beyond the limit of its workspace comes back after the true wait")
{
    CHECK(limit_hint_ms(1200, 0) == 1200);
    CHECK(limit_hint_ms(1200, 0.999) <= 1440);
    CHECK(limit_hint_ms(0.4, 0) == 20);
    CHECK(limit_hint_ms(333.2, 0) == 334);
}
