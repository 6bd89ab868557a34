// Tests of upstream_pool: leases, fences, slow start, ejection and the limit of slots.
#include "support.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <rapidcheck/catch.h>

using namespace guavashed;

namespace
{

/// Completes as many requests as end slow start of an upstream with four slots.
void warm(upstream_pool& pool, std::int64_t from_ms, int answers = 40)
{
    for (int i = 0; i < answers; ++i)
        if (auto const pick = pool.pick(at_ms(from_ms)))
            pool.release(at_ms(from_ms), pick->position, work_ending::answered, microseconds(1000));
}

/// Picks until no slot is free; returns the number of picks.
std::size_t pick_all(upstream_pool& pool, std::int64_t ms)
{
    std::size_t count = 0;
    while (pool.pick(at_ms(ms)))
        ++count;
    return count;
}

} // namespace

// Guards against overloading an upstream. That happens when two homes send to it during a move,
// when a home sends after its lease has ended, when a delayed announcement of an older incarnation
// replaces the current one, or when a freshly started upstream gets full load. Also guards against
// ejecting so many upstreams that the rest cannot carry the load.
SCENARIO("a home uses no more of an upstream's slots than its lease and state allow")
{
    upstream_pool pool(upstream_chart());
    GIVEN("an upstream with four slots")
    {
        pool.announce(at_ms(0), announcement("u"), at_ms(2000));
        THEN("slow start allows one slot")
        {
            CHECK(pick_all(pool, 1) == 1);
        }
        WHEN("slow start is over")
        {
            warm(pool, 1);
            THEN("four slots are used and no more")
            {
                CHECK(pick_all(pool, 2) == 4);
            }
            AND_WHEN("work of an earlier home occupies two slots")
            {
                upstream_announcement announced = announcement("u");
                announced.in_flight_elsewhere = slot_count(2);
                pool.announce(at_ms(2), announced, at_ms(2000));
                CHECK(pick_all(pool, 3) == 2);
            }
            AND_WHEN("its lease ends")
            {
                CHECK(pick_all(pool, 2000) == 0);
                pool.tick(at_ms(2001));
                AND_WHEN("it renews the lease")
                {
                    pool.announce(at_ms(3000), announcement("u"), at_ms(5000));
                    THEN("slow start begins again")
                    {
                        CHECK(pick_all(pool, 3001) == 1);
                    }
                }
            }
            AND_WHEN("it is handed over to another home")
            {
                pool.hand_over(upstream_name("u"));
                CHECK(pick_all(pool, 2) == 0);
                CHECK(pool.renewing().empty());
            }
            AND_WHEN("it is drained")
            {
                pool.leave(upstream_name("u"));
                CHECK(pick_all(pool, 2) == 0);
            }
        }
    }
    GIVEN("an upstream whose previous home may still send for 500 ms")
    {
        upstream_announcement announced = announcement("u");
        announced.previous_lease_left = milliseconds(500);
        pool.announce(at_ms(0), announced, at_ms(2000));
        CHECK(pick_all(pool, 100) == 0);
        announced.previous_lease_left = milliseconds(100);
        pool.announce(at_ms(400), announced, at_ms(2400));
        CHECK(pick_all(pool, 450) == 0);
        announced.previous_lease_left = milliseconds(0);
        pool.announce(at_ms(800), announced, at_ms(2800));
        CHECK(pick_all(pool, 801) == 1);
    }
    GIVEN("an upstream that has been accepted and has not quoted the acceptance yet")
    {
        pool.announce(at_ms(0), announcement("u"), at_ms(0));
        for (std::int64_t ms = 0; ms < 700; ms += 5)
            pool.tick(at_ms(ms));
        THEN("it keeps this home, without work")
        {
            CHECK(pool.renewing() == std::vector<upstream_name>{upstream_name("u")});
            CHECK(pick_all(pool, 700) == 0);
        }
        AND_WHEN("it quotes the acceptance")
        {
            pool.announce(at_ms(700), announcement("u"), at_ms(2000));
            CHECK(pick_all(pool, 701) == 1);
        }
        AND_WHEN("it stays silent")
        {
            for (std::int64_t ms = 700; ms < 2100; ms += 5)
                pool.tick(at_ms(ms));
            CHECK(pool.renewing().empty());
            CHECK(pool.rows().empty());
        }
    }
    GIVEN("a delayed announcement of an older incarnation")
    {
        upstream_announcement announced = announcement("u");
        announced.life = incarnation(2);
        pool.announce(at_ms(0), announced, at_ms(2000));
        announced.life = incarnation(1);
        announced.slots = slot_count(100);
        pool.announce(at_ms(1), announced, at_ms(9000));
        REQUIRE(pool.rows().size() == 1);
        CHECK(pool.rows()[0].slots == slot_count(4));
    }
    GIVEN("three upstreams, two of which fail every request")
    {
        for (char const* name : {"a", "b", "c"})
            pool.announce(at_ms(0), announcement(name), at_ms(60'000));
        for (int i = 0; i < 200; ++i)
            if (auto const pick = pool.pick(at_ms(i)))
                pool.release(at_ms(i), pick->position,
                             pick->name == upstream_name("c") ? work_ending::answered
                                                              : work_ending::failed,
                             microseconds(1000));
        std::size_t ejected = 0;
        for (auto const& row : pool.rows())
            ejected += row.state == "ejected" ? 1 : 0;
        THEN("one is ejected, since two would be more than half")
        {
            CHECK(ejected == 1);
        }
    }
}

// Guards against slots that are counted twice or never freed when announcements, restarts,
// hand-overs and results arrive in an unexpected order. A slot counted twice overloads the
// upstream; one never freed is lost for good.
SCENARIO("random announcements, restarts, hand-overs and results keep the slots correct")
{
    rc::prop("no upstream has more requests in flight than slots",
             [](std::uint64_t seed)
             {
                 std::mt19937_64 random(seed);
                 upstream_pool pool(upstream_chart());
                 std::map<std::size_t, std::vector<std::string>> busy;
                 std::vector<upstream_pick> picks;
                 std::map<std::string, unsigned> used;
                 std::uint64_t lives[3] = {1, 1, 1};
                 for (std::int64_t ms = 0; ms < 4000; ms += 2)
                 {
                     std::size_t const which = random() % 3;
                     upstream_announcement announced = announcement("u" + std::to_string(which));
                     switch (random() % 8)
                     {
                     case 0:
                         lives[which] += random() % 20 == 0 ? 1 : 0;
                         announced.life = incarnation(lives[which]);
                         announced.cold = random() % 10 == 0;
                         // No other home has sent work to it, also after a restart.
                         announced.in_flight_elsewhere = slot_count(0);
                         pool.announce(at_ms(ms), announced, at_ms(ms + 500));
                         break;
                     case 1:
                         pool.tick(at_ms(ms));
                         break;
                     case 2:
                         if (random() % 10 == 0)
                             pool.hand_over(announced.name);
                         break;
                     case 3:
                     case 4:
                         if (!picks.empty())
                         {
                             std::size_t const at = random() % picks.size();
                             pool.release(at_ms(ms), picks[at].position,
                                          static_cast<work_ending>(random() % 4),
                                          microseconds(random() % 100'000));
                             picks.erase(picks.begin() + static_cast<std::ptrdiff_t>(at));
                         }
                         break;
                     default:
                         if (auto const pick = pool.pick(at_ms(ms)))
                         {
                             picks.push_back(*pick);
                             std::map<std::size_t, unsigned> by_row;
                             for (auto const& item : picks)
                                 if (++by_row[item.position] > 4)
                                     throw std::logic_error(item.name.value() + " exceeds 4 slots");
                         }
                         break;
                     }
                     if (pool.in_flight().value() != picks.size())
                         throw std::logic_error("slots in use differ from picks held");
                 }
             });
}
