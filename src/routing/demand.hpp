/// \file
/// Defines the demand of a service, and demand_meter, which measures what a host is asked for.
#pragma once

#include "ids.hpp"
#include "instant.hpp"

#include <cereal/types/string.hpp>
#include <map>
#include <vector>

namespace guavashed
{

/// Slots of a service that the callers of one region keep busy.
struct region_demand
{
    service_name service;
    region_name region;
    double slots = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, region, slots);
    }
};

/// A service's demand at one entry host, averaged over the last seconds. Thread safety: none.
class demand_meter
{
public:
    /// A request that keeps a slot busy for `work_ms`.
    void add(service_name const& service, double work_ms, instant now);
    /// Busy slots of each service.
    std::map<service_name, double> slots(instant now);

private:
    struct average
    {
        double slots = 0;
        instant at;
    };
    static void fade(average& item, instant now);

    std::map<service_name, average> services_;
};

/// Regions' demands as this host acts on them: they follow what is told, but no faster than keeps
/// the regions of callers' requests steady. Thread safety: none.
class steady_demand
{
public:
    void follow(std::vector<region_demand> const& told, instant now);
    /// Demands of one service, by region; empty when none was ever told.
    std::vector<region_demand> of(service_name const& service) const;

private:
    std::map<service_name, std::map<region_name, double>> held_;
    instant at_;
};

} // namespace guavashed
