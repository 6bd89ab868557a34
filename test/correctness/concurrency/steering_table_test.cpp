// Tests of steering_table: look-ups during a rebuild, and the number of blocks that a change moves.
#include "entry/steering_table.hpp"

#include <catch2/catch.hpp>
#include <set>
#include <thread>

using namespace guavashed;

namespace
{

/// Regions r0 to r2 with the failure domains a and b each.
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

/// Serving hosts h0 to h11 without the absent ones. Host n is in region n % 3; hosts 0 to 5 are in
/// domain a of it, the others in b.
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

// Guards against look-ups that return no host while the words of the table and the snapshot of the
// sites are replaced one after the other.
SCENARIO("each look-up during a rebuild returns a host")
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

// Guards against a change that also moves blocks which it does not concern, and so steers their
// callers to other hosts without need.
SCENARIO("a change of hosts or shifts moves only the affected blocks")
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
    WHEN("one of the two sites of a region loses its hosts")
    {
        std::size_t const moved = table.rebuild(config, hosts({0, 3}));
        THEN("the blocks of that site move, about a sixth of all")
        {
            CHECK(moved > 800);
            CHECK(moved < 1200);
        }
    }
    WHEN("a quarter of a region's callers is shifted to another region")
    {
        config.shifts = {{region_name("r0"), region_name("r1"), permille(250), permille(250),
                          permille(50), permille(1300)}};
        std::size_t const moved = table.rebuild(config, hosts());
        THEN("about a twelfth of all blocks moves and the blocks of the target region stay")
        {
            CHECK(moved > 420);
            CHECK(moved < 580);
            for (std::uint32_t block = 1; block < 300; block += 3)
                CHECK(std::stoi(first_region(block).substr(1)) % 3 == 1);
        }
        AND_WHEN("the shift grows to half")
        {
            config.shifts[0].current = permille(500);
            std::size_t const more = table.rebuild(config, hosts());
            THEN("only the added blocks move")
            {
                CHECK(more > 420);
                CHECK(more < 580);
            }
        }
    }
}
