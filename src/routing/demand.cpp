#include "routing/demand.hpp"

#include <algorithm>
#include <cmath>

namespace guavashed
{
namespace
{

/// Time over which demand is averaged.
constexpr double averaging_s = 2;
/// Most that a region's demand may change in a second, as a part of it. Of a region's requests at
/// most 0.15 may change the region that serves them within two seconds.
constexpr double change_per_s = 0.04;

double seconds_between(instant from, instant to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

void demand_meter::fade(average& item, instant now)
{
    item.slots *= std::exp(-seconds_between(item.at, now) / averaging_s);
    item.at = now;
}

void demand_meter::add(service_name const& service, double work_ms, instant now)
{
    average& item = services_[service];
    fade(item, now);
    item.slots += work_ms / 1000 / averaging_s;
}

std::map<service_name, double> demand_meter::slots(instant now)
{
    std::map<service_name, double> out;
    for (auto& [service, item] : services_)
    {
        fade(item, now);
        out[service] = item.slots;
    }
    return out;
}

void steady_demand::follow(std::vector<region_demand> const& told, instant now)
{
    double const most = 1 + change_per_s * seconds_between(at_, now);
    at_ = now;
    for (auto const& item : told)
    {
        auto const [held, first] = held_[item.service].try_emplace(item.region, item.slots);
        if (!first && held->second > 0)
            held->second = std::clamp(item.slots, held->second / most, held->second * most);
        else
            held->second = item.slots;
    }
}

std::vector<region_demand> steady_demand::of(service_name const& service) const
{
    std::vector<region_demand> out;
    auto const held = held_.find(service);
    if (held != held_.end())
        for (auto const& [region, slots] : held->second)
            out.push_back({service, region, slots});
    return out;
}

} // namespace guavashed
