// Tests of the choice of entry hosts for the callers of a failure domain.
#include "routing/entry_choice.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace guavashed
{
namespace
{

std::vector<entry_candidate> hosts_of(std::string const& region, std::string const& domain,
                                      int count)
{
    std::vector<entry_candidate> out;
    for (int at = 0; at < count; ++at)
        out.push_back({endpoint_text(domain + "-" + std::to_string(at) + ":80"),
                       region_name(region), failure_domain_name(domain)});
    return out;
}

void append(std::vector<entry_candidate>& to, std::vector<entry_candidate> const& more)
{
    to.insert(to.end(), more.begin(), more.end());
}

/// Load of each host if every domain has the same number of callers, which choose uniformly among
/// their endpoints.
std::map<std::string, double> load_of(std::vector<entry_candidate> const& entries)
{
    std::map<std::string, double> out;
    std::set<std::pair<std::string, std::string>> domains;
    for (auto const& place : entries)
        domains.insert({place.region.value(), place.domain.value()});
    for (auto const& [region, domain] : domains)
    {
        auto const chosen =
            choose_entries(region_name(region), failure_domain_name(domain), entries, 64);
        for (auto const& endpoint : chosen)
            out[endpoint.value()] += 1.0 / static_cast<double>(chosen.size());
    }
    return out;
}

// Guards against overloading the entry hosts of a small failure domain: if callers used only their
// own domain, a host there would carry several times the load of its neighbours.
TEST_CASE("callers are balanced over the entry hosts of their region")
{
    std::vector<entry_candidate> entries;

    SECTION("domains with about equally many hosts serve their own callers")
    {
        append(entries, hosts_of("north", "north-a", 7));
        append(entries, hosts_of("north", "north-b", 6));
        auto const chosen =
            choose_entries(region_name("north"), failure_domain_name("north-b"), entries, 64);
        REQUIRE(chosen.size() == 6);
        for (auto const& endpoint : chosen)
            CHECK(endpoint.value().starts_with("north-b"));
    }
    SECTION("callers of a domain with few hosts use the whole region, evenly")
    {
        append(entries, hosts_of("north", "north-a", 7));
        append(entries, hosts_of("north", "north-b", 7));
        append(entries, hosts_of("north", "north-c", 5));
        append(entries, hosts_of("south", "south-a", 3));
        append(entries, hosts_of("south", "south-b", 3));
        auto const load = load_of(entries);
        REQUIRE(load.size() == entries.size());
        double least = 1e9;
        double most = 0;
        for (auto const& [endpoint, carried] : load)
        {
            if (endpoint.starts_with("south"))
                continue;
            least = std::min(least, carried);
            most = std::max(most, carried);
        }
        CHECK(most <= least * 1.25);
    }
    SECTION("callers of a domain with one host or none use the whole region")
    {
        append(entries, hosts_of("north", "north-a", 1));
        append(entries, hosts_of("north", "north-b", 1));
        append(entries, hosts_of("south", "south-a", 4));
        for (auto const* domain : {"north-a", "north-b", "north-c"})
            CHECK(choose_entries(region_name("north"), failure_domain_name(domain), entries, 64)
                      .size() == 2);
    }
    SECTION("other regions are used only if the caller's region has no host")
    {
        append(entries, hosts_of("south", "south-a", 4));
        CHECK(choose_entries(region_name("north"), failure_domain_name("north-a"), entries, 64)
                  .size() == 4);
        append(entries, hosts_of("north", "north-b", 1));
        auto const chosen =
            choose_entries(region_name("north"), failure_domain_name("north-a"), entries, 64);
        REQUIRE(chosen.size() == 1);
        CHECK(chosen.front().value().starts_with("north-b"));
    }
    SECTION("without entry hosts the result is empty")
    {
        CHECK(choose_entries(region_name("north"), failure_domain_name("north-a"), entries, 64)
                  .empty());
    }
    SECTION("results are limited, deterministic, and differ between domains")
    {
        append(entries, hosts_of("north", "north-a", 150));
        append(entries, hosts_of("north", "north-b", 2));
        std::set<std::string> used;
        for (auto const* domain : {"north-a", "north-b"})
        {
            auto const chosen =
                choose_entries(region_name("north"), failure_domain_name(domain), entries, 64);
            CHECK(chosen.size() == 64);
            CHECK(chosen ==
                  choose_entries(region_name("north"), failure_domain_name(domain), entries, 64));
            for (auto const& endpoint : chosen)
                used.insert(endpoint.value());
        }
        CHECK(used.size() > 64);
    }
}

} // namespace
} // namespace guavashed
