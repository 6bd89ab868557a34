// Tests of the speed at which the shares of regions follow the view.
#include "routing/gradual_shares.hpp"
#include "support.hpp"

#include <catch2/catch.hpp>

using namespace guavashed;

namespace
{

std::vector<region_share> shares(double north, double south, double west)
{
    return {
        {region_name("north"), north}, {region_name("south"), south}, {region_name("west"), west}};
}

void check(std::vector<region_share> const& found, std::vector<region_share> const& expected)
{
    REQUIRE(found.size() == expected.size());
    for (std::size_t i = 0; i < found.size(); ++i)
        CHECK(found[i].share == Approx(expected[i].share).margin(1e-6));
}

} // namespace

// Guards against a wave of requests to upstreams that have none of their objects cached, and
// against following a failure so slowly that the rest of a region is overloaded.
SCENARIO("shares of regions follow the view")
{
    auto const from = shares(0.3, 0.2, 0.5);
    auto const target = shares(0.5, 0.3, 0.2);
    gradual_shares kept(from, 0.06, at_ms(0));

    GIVEN("upstreams that are still being registered")
    {
        kept.set_target(target, {}, at_ms(5000));
        THEN("the shares are set at once")
        {
            check(kept.at(at_ms(5000)), target);
            CHECK_FALSE(kept.is_moving());
        }
    }
    GIVEN("upstreams that were added later")
    {
        kept.set_target(target, {}, at_ms(60000));
        THEN("the shares move at the limited rate")
        {
            check(kept.at(at_ms(60000)), from);
            check(kept.at(at_ms(62000)), shares(0.38, 0.24, 0.38));
            CHECK(kept.is_moving());
        }
        THEN("they reach what a host that has just started begins with")
        {
            for (std::int64_t now = 60000; now <= 65100; now += 10)
                kept.at(at_ms(now));
            CHECK_FALSE(kept.is_moving());
            check(kept.at(at_ms(65200)), target);
        }
        THEN("another change on the way does not raise the rate")
        {
            kept.set_target(from, {}, at_ms(62000));
            kept.set_target(target, {}, at_ms(62000));
            check(kept.at(at_ms(63000)), shares(0.42, 0.26, 0.32));
        }
    }
    GIVEN("upstreams that failed")
    {
        kept.set_target(target, {region_name("west")}, at_ms(60000));
        THEN("their region loses its excess at once")
        {
            check(kept.at(at_ms(60000)), target);
        }
    }
    GIVEN("a failure in one region and planned changes of another")
    {
        kept.set_target(shares(0.1, 0.5, 0.4), {region_name("west")}, at_ms(60000));
        THEN("only the failure is followed at once")
        {
            check(kept.at(at_ms(60000)), shares(0.3, 0.3, 0.4));
            check(kept.at(at_ms(61000)), shares(0.24, 0.36, 0.4));
        }
    }
    GIVEN("a region that disappears and one that appears")
    {
        kept.set_target({{region_name("east"), 0.5}, {region_name("north"), 0.5}},
                        {region_name("south"), region_name("west")}, at_ms(60000));
        THEN("no share is lost")
        {
            double total = 0;
            for (auto const& item : kept.at(at_ms(60000)))
                total += item.share;
            CHECK(total == Approx(1));
        }
    }
}
