// Ranks the upstreams of a service for an object, and keeps the shares of regions.
#include "base/log.hpp"
#include "routing/upstream_selector.hpp"

#include <algorithm>
#include <cmath>

namespace guavashed
{
namespace
{

/// Time over which `max_region_shift` applies, in seconds.
constexpr double region_shift_window_s = 2;
/// Part of `max_region_shift` left for the variation of which objects are requested: a region with
/// few callers sends about 1,000 requests in a window.
constexpr double shift_margin = 0.03;
/// Least speed at which shares follow the view.
constexpr double min_shift_per_s = 0.01;
/// Smaller shifts, such as those of a single upstream, are not logged.
constexpr double min_logged_shift = 0.03;

int permille_of(double share)
{
    return static_cast<int>(std::lround(share * 1000));
}

/// The two items with the highest scores.
template <class Item>
class two_highest
{
public:
    void add(Item* item, double score)
    {
        if (first == nullptr || score > first_score_)
        {
            second = first;
            second_score_ = first_score_;
            first = item;
            first_score_ = score;
        }
        else if (second == nullptr || score > second_score_)
        {
            second = item;
            second_score_ = score;
        }
    }

    double highest() const { return first_score_; }

    Item* first = nullptr;
    Item* second = nullptr;

private:
    double first_score_ = 0;
    double second_score_ = 0;
};

} // namespace

std::vector<upstream_selector::candidate> upstream_selector::candidates(pick_request const& request,
                                                                        instant now)
{
    std::vector<candidate> found;
    auto const of_service = by_service_.find(request.service);
    if (of_service == by_service_.end())
        return found;
    for (bool const ejected_too : {false, true})
    {
        for (auto* state : of_service->second)
            if (usable(*state, request, now, ejected_too))
                found.push_back({state});
        if (!found.empty())
            break;
    }
    return found;
}

void upstream_selector::note_failed(upstream_state const& state)
{
    if (!state.is_leaving() && !evacuated_.contains(state.row.domain))
        failed_[state.row.service].insert(state.region);
}

std::vector<region_share>
upstream_selector::target_shares(service_name const& service,
                                 std::vector<region_name> const& allowed) const
{
    std::vector<region_capacity> capacities;
    if (auto const homes = homes_.find(service); homes != homes_.end())
        for (auto const& [region, upstreams] : homes->second)
        {
            if (!is_allowed(region, allowed))
                continue;
            double slots = 0;
            for (auto const* state : upstreams)
                if (!state->is_leaving())
                    slots += state->row.slots;
            if (slots > 0)
                capacities.push_back({region, slots});
        }
    return spread_over_regions(settings_.region, capacities, regions_.size());
}

std::vector<region_name>
upstream_selector::known_regions_of(std::vector<region_name> const& allowed) const
{
    std::vector<region_name> out;
    for (auto const& region : regions_)
        if (is_allowed(region, allowed))
            out.push_back(region);
    if (out.size() == regions_.size())
        out.clear();
    return out;
}

gradual_shares& upstream_selector::region_shares_of(service_name const& service,
                                                    std::vector<region_name> const& listed,
                                                    instant now)
{
    std::vector<region_name> const allowed =
        listed.empty() ? std::vector<region_name>() : known_regions_of(listed);
    auto const known = region_shares_.find({service, allowed});
    if (known != region_shares_.end())
        return known->second;
    double const per_s = std::max(min_shift_per_s, (settings_.max_region_shift - shift_margin) /
                                                       region_shift_window_s);
    return region_shares_
        .try_emplace({service, allowed}, target_shares(service, allowed), per_s, now)
        .first->second;
}

void upstream_selector::update_region_shares(instant now)
{
    std::erase_if(region_shares_,
                  [this](auto const& item)
                  {
                      service_name const& service = item.first.first;
                      return !by_service_.contains(service) && !services_.contains(service);
                  });
    for (auto& [key, shares] : region_shares_)
    {
        auto const& [service, allowed] = key;
        std::set<region_name> failed = failed_[service];
        auto const& homes = homes_[service];
        for (auto const& [region, share] : shares.at(now))
        {
            auto const of_region = homes.find(region);
            bool const has_homes =
                of_region != homes.end() &&
                std::any_of(of_region->second.begin(), of_region->second.end(),
                            [](auto const* state) { return state->may_be_home(); });
            if (share > 0 && !has_homes)
                failed.insert(region);
        }
        std::vector<region_share> const target = target_shares(service, allowed);
        double const moving = shares.set_target(target, failed, now);
        if (moving < min_logged_shift && failed.empty())
            continue;
        std::string targets;
        for (auto const& item : target)
            targets += (targets.empty() ? "" : ",") + item.region.value() + ":" +
                       std::to_string(permille_of(item.share));
        log_change(log_level::info, "region_shares",
                   "service=" + service.value() + " target_permille=" + targets +
                       " moving_permille=" + std::to_string(permille_of(moving)) +
                       " failed_regions=" + std::to_string(failed.size()));
    }
    failed_.clear();
}

void upstream_selector::rank(std::vector<candidate>& found, std::uint64_t object,
                             std::vector<region_share> const& shares) const
{
    region_name const& region = shares.empty() ? settings_.region : region_of(object, shares);
    two_highest<candidate> ranked;
    for (auto& item : found)
        if (item.state->region == region)
            ranked.add(&item, home_score(object, item.state->row.id, item.state->row.slots));
    if (ranked.first != nullptr)
        ranked.first->place = 0;
    if (ranked.second != nullptr)
        ranked.second->place = 1;
}

void upstream_selector::rank_homes(std::vector<candidate>& found, service_name const& service,
                                   std::uint64_t object,
                                   std::vector<region_share> const& shares) const
{
    auto const homes = homes_.find(service);
    if (homes == homes_.end())
        return;
    two_highest<upstream_state const> ranked;
    double highest = 0;
    for (auto const& [region, share] : shares)
    {
        auto const of_region = homes->second.find(region);
        if (share <= 0 || of_region == homes->second.end())
            continue;
        double slots = 0;
        two_highest<upstream_state const> ranked_here;
        for (upstream_state const* state : of_region->second)
        {
            if (!state->may_be_home())
                continue;
            slots += state->row.slots;
            ranked_here.add(state, home_score(object, state->row.id, state->row.slots));
        }
        // Scores are proportional to weights, so that the region's part can be applied to the best.
        double const score = ranked_here.highest() * share / std::max(1.0, slots);
        if (score > highest)
        {
            highest = score;
            ranked = ranked_here;
        }
    }
    if (ranked.first == nullptr)
        return;
    for (auto& item : found)
        if (item.state == ranked.first)
            item.place = 0;
        else if (item.state == ranked.second)
            item.place = 1;
    // An upstream that does not have the object cached takes several times as long. Under load that
    // costs more slots than queueing at the object's two ranked upstreams.
    if (std::any_of(found.begin(), found.end(), [](auto const& item) { return item.place < 2; }))
    {
        std::erase_if(found, [](candidate const& item) { return item.place > 1; });
        return;
    }
    // All requests of the object use the next one in rank order, which has to load it only once.
    two_highest<upstream_state const> others;
    for (auto const& item : found)
        if (item.state->region == ranked.first->region)
            others.add(item.state, home_score(object, item.state->row.id, item.state->row.slots));
    if (others.first != nullptr)
        std::erase_if(found, [&](candidate const& item) { return item.state != others.first; });
}

} // namespace guavashed
