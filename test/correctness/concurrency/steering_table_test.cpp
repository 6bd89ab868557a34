#include "entry/steering_table.hpp"

#include <catch2/catch.hpp>
#include <set>
#include <thread>

using namespace guavashed;

namespace
{

configuration three_regions()
{
    configuration out;
    for (int r = 0; r < 3; ++r)
    {
        region_config region;
        region.name = region_name("r" + std::to_string(r));
        region.client_prefixes = {"10." + std::to_string(r) + "."};
        region.failure_domains = {failure_domain_name("r" + std::to_string(r) + "a"),
                                  failure_domain_name("r" + std::to_string(r) + "b")};
        out.regions.push_back(region);
    }
    return out;
}

fleet_view hosts(std::set<int> const& absent = {})
{
    view_push push;
    push.whole = true;
    for (int h = 0; h < 12; ++h)
    {
        if (absent.contains(h))
            continue;
        host_row row;
        row.host = host_name("h" + std::to_string(h));
        row.region = region_name("r" + std::to_string(h % 3));
        row.domain = failure_domain_name(row.region.value() + (h < 6 ? "a" : "b"));
        row.caller_endpoint = endpoint_text("127.0.0.1:" + std::to_string(1000 + h));
        row.phase = host_phase::serving;
        push.changed.push_back(row);
    }
    fleet_view out;
    out.apply(push);
    return out;
}

} // namespace

SCENARIO("look-ups go on while the table is replaced")
{
    steering_table table(6000);
    configuration const config = three_regions();
    table.rebuild(config, hosts());
    std::atomic<bool> stop{false};
    std::atomic<std::uint64_t> empty{0};
    std::vector<std::thread> readers;
    for (int t = 0; t < 3; ++t)
        readers.emplace_back(
            [&, t]
            {
                for (std::uint32_t i = static_cast<std::uint32_t>(t); !stop; ++i)
                {
                    auto const sites = table.sites();
                    auto const block = table.block_of(*sites, "10.1." + std::to_string(i % 999));
                    if (table.choose(*sites, block).count == 0)
                        ++empty;
                }
            });
    for (int i = 0; i < 30; ++i)
        table.rebuild(config, hosts({i % 12}));
    stop = true;
    for (auto& reader : readers)
        reader.join();
    CHECK(empty == 0);
}

SCENARIO("a change moves only what it must")
{
    steering_table table(6000);
    configuration config = three_regions();
    table.rebuild(config, hosts());
    auto const sites = table.sites();
    auto const first_region = [&](std::uint32_t block)
    {
        auto const held = table.sites();
        return table.choose(*held, block_index(block)).hosts[0]->name.value();
    };

    THEN("callers are steered to their own region first")
    {
        auto const block = table.block_of(*sites, "10.2.0.7");
        auto const choice = table.choose(*sites, block);
        REQUIRE(choice.count == 4);
        CHECK((std::stoi(choice.hosts[0]->name.value().substr(1)) % 3) == 2);
        CHECK((std::stoi(choice.hosts[1]->name.value().substr(1)) % 3) == 2);
        CHECK(choice.hosts[0]->name != choice.hosts[1]->name);
    }
    WHEN("one of two sites of a region loses its hosts")
    {
        std::size_t const moved = table.rebuild(config, hosts({0, 3}));
        THEN("about a sixth of the blocks move, those that it had")
        {
            CHECK(moved > 800);
            CHECK(moved < 1200);
        }
    }
    WHEN("a quarter of a region's callers is shifted")
    {
        config.shifts = {{region_name("r0"), region_name("r1"), permille(250), permille(250),
                          permille(50), permille(1300)}};
        std::size_t const moved = table.rebuild(config, hosts());
        THEN("a twelfth of all blocks moves, and none of another region's")
        {
            CHECK(moved > 420);
            CHECK(moved < 580);
            for (std::uint32_t block = 1; block < 300; block += 3)
                CHECK(std::stoi(first_region(block).substr(1)) % 3 == 1);
        }
        AND_WHEN("it goes on to half")
        {
            config.shifts[0].current = permille(500);
            std::size_t const more = table.rebuild(config, hosts());
            THEN("only the difference moves")
            {
                CHECK(more > 420);
                CHECK(more < 580);
            }
        }
    }
}
