// Tests of spreading requests over regions and of placing objects on upstreams.
#include "routing/placement.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace guavashed;

namespace
{

double share_of(std::vector<region_share> const& shares, std::string const& region)
{
    for (auto const& item : shares)
        if (item.region.value() == region)
            return item.share;
    return 0;
}

std::string home_of(std::uint64_t object, std::vector<std::string> const& upstreams)
{
    std::string best;
    double highest = -1;
    for (auto const& id : upstreams)
        if (double const score = home_score(object, upstream_name(id), 4); score > highest)
        {
            highest = score;
            best = id;
        }
    return best;
}

} // namespace

// Guards against overloading the upstreams of a small region while other regions have spare slots,
// and against needless traffic between regions.
TEST_CASE("requests of a region are spread by the slots of the regions")
{
    std::vector<region_capacity> const slots{
        {region_name("central"), 40}, {region_name("north"), 32}, {region_name("south"), 8}};

    SECTION("a region with enough slots keeps all its requests")
    {
        CHECK(share_of(spread_over_regions(region_name("central"), slots, 3), "central") ==
              Approx(1));
    }
    SECTION("a small region keeps what its slots carry and uses spare slots of the others")
    {
        auto const shares = spread_over_regions(region_name("south"), slots, 3);
        CHECK(share_of(shares, "south") == Approx(0.3));
        CHECK(share_of(shares, "central") > share_of(shares, "north"));
    }
    SECTION("a region without upstreams uses those of other regions")
    {
        auto const shares = spread_over_regions(region_name("west"), slots, 4);
        CHECK(share_of(shares, "west") == 0);
        CHECK_FALSE(shares.empty());
    }
}

// Guards against shares that lose or double requests when regions have unusual slot counts.
TEST_CASE("the shares of regions add up to one")
{
    rc::prop("for any slot counts",
             [](std::vector<std::uint8_t> const& counts)
             {
                 std::vector<region_capacity> slots;
                 for (std::size_t i = 0; i < counts.size(); ++i)
                     if (counts[i] > 0)
                         slots.push_back({region_name("r" + std::to_string(i)), double(counts[i])});
                 RC_PRE(!slots.empty());
                 double total = 0;
                 for (auto const& item :
                      spread_over_regions(region_name("r0"), slots, counts.size()))
                 {
                     RC_ASSERT(item.share >= 0);
                     total += item.share;
                 }
                 RC_ASSERT(std::abs(total - 1) < 1e-6);
             });
}

// Guards against moving objects between the remaining upstreams when one is removed, which would
// make their caches cold.
TEST_CASE("removing an upstream moves only the objects placed on it")
{
    std::vector<std::string> upstreams{"u0", "u1", "u2", "u3", "u4"};
    std::vector<std::string> const fewer{"u0", "u1", "u2", "u4"};
    std::map<std::string, int> homes;
    for (int i = 0; i < 1000; ++i)
    {
        auto const object = object_hash(service_name("roster"), std::to_string(i));
        std::string const before = home_of(object, upstreams);
        ++homes[before];
        if (before != "u3")
            CHECK(home_of(object, fewer) == before);
    }
    for (auto const& id : upstreams)
        CHECK(homes[id] > 120);
}
