#include "routing/entry_choice.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace guavashed
{
namespace
{

std::vector<entry_place> hosts_of(std::string const& region, std::string const& domain, int count)
{
    std::vector<entry_place> out;
    for (int at = 0; at < count; ++at)
        out.push_back({endpoint_text(domain + "-" + std::to_string(at) + ":80"),
                       region_name(region), failure_domain_name(domain)});
    return out;
}

void append(std::vector<entry_place>& to, std::vector<entry_place> const& more)
{
    to.insert(to.end(), more.begin(), more.end());
}

/// Callers that each host carries when each domain sends as many, spread evenly over its answer.
std::map<std::string, double> load_of(std::vector<entry_place> const& entries)
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

TEST_CASE("callers are sent to entry hosts evenly")
{
    std::vector<entry_place> entries;

    SECTION("domains with about as many hosts serve their own callers")
    {
        append(entries, hosts_of("north", "north-a", 7));
        append(entries, hosts_of("north", "north-b", 6));
        auto const chosen =
            choose_entries(region_name("north"), failure_domain_name("north-b"), entries, 64);
        REQUIRE(chosen.size() == 6);
        for (auto const& endpoint : chosen)
            CHECK(endpoint.value().starts_with("north-b"));
    }
    SECTION("a domain with few hosts is helped by its region, and no host carries much more")
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
    SECTION("a domain with one host, or none, is served by its region")
    {
        append(entries, hosts_of("north", "north-a", 1));
        append(entries, hosts_of("north", "north-b", 1));
        append(entries, hosts_of("south", "south-a", 4));
        for (auto const* domain : {"north-a", "north-b", "north-c"})
            CHECK(choose_entries(region_name("north"), failure_domain_name(domain), entries, 64)
                      .size() == 2);
    }
    SECTION("other regions are named only when there is no host in the caller's")
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
    SECTION("no host, no answer")
    {
        CHECK(choose_entries(region_name("north"), failure_domain_name("north-a"), entries, 64)
                  .empty());
    }
    SECTION("long answers are cut, stay the same, and use all hosts together")
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
