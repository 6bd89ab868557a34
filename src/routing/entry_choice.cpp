// Selects entry hosts for callers: the caller's failure domain if it has enough of them, otherwise
// its region, otherwise all regions.
#include "routing/entry_choice.hpp"

#include "routing/placement.hpp"

#include <algorithm>
#include <map>

namespace guavashed
{
namespace
{

/// With a single host, its callers would have no entry host while it restarts.
constexpr std::size_t min_entries_per_domain = 2;
/// Least number of hosts of a domain that serves only its own callers, as a fraction of an
/// even share of the region's hosts.
constexpr double min_even_fraction = 0.9;

using entry_list = std::vector<entry_candidate const*>;

/// Whether every domain of the region has enough hosts for its own callers. Assumes that all
/// domains have the same number of callers.
bool each_domain_can_serve_itself(entry_list const& in_region)
{
    std::map<failure_domain_name, std::size_t> hosts;
    for (auto const* place : in_region)
        ++hosts[place->domain];
    double const even_share = static_cast<double>(in_region.size()) /
                              static_cast<double>(std::max<std::size_t>(1, hosts.size()));
    return std::all_of(hosts.begin(), hosts.end(),
                       [even_share](auto const& item)
                       {
                           return item.second >= min_entries_per_domain &&
                                  static_cast<double>(item.second) >=
                                      even_share * min_even_fraction;
                       });
}

std::vector<endpoint_text> endpoints_of(entry_list const& chosen, failure_domain_name const& domain,
                                        std::size_t limit)
{
    std::vector<endpoint_text> out;
    out.reserve(chosen.size());
    for (auto const* place : chosen)
        out.push_back(place->callers);
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    if (out.size() <= limit)
        return out;
    // Hashing with the domain's name gives each domain a different subset, so that load spreads
    // over all hosts.
    std::string const& key = domain.value();
    std::sort(out.begin(), out.end(),
              [&key](endpoint_text const& left, endpoint_text const& right) {
                  return entry_hash(host_name(left.value() + key)) <
                         entry_hash(host_name(right.value() + key));
              });
    out.resize(limit);
    return out;
}

} // namespace

std::vector<endpoint_text> choose_entries(region_name const& region,
                                          failure_domain_name const& domain,
                                          std::vector<entry_candidate> const& entries,
                                          std::size_t limit)
{
    entry_list all;
    entry_list in_region;
    entry_list in_domain;
    for (auto const& place : entries)
    {
        all.push_back(&place);
        if (place.region == region)
            in_region.push_back(&place);
        if (place.domain == domain)
            in_domain.push_back(&place);
    }
    if (!in_domain.empty() && each_domain_can_serve_itself(in_region))
        return endpoints_of(in_domain, domain, limit);
    return endpoints_of(in_region.empty() ? all : in_region, domain, limit);
}

} // namespace guavashed
