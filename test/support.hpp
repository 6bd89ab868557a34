/// \file
/// Defines helpers that several tests share: points in time, the upstream chart and an
/// announcement.
#pragma once

#include "base/chart.hpp"
#include "base/instant.hpp"
#include "entry/upstream_pool.hpp"

#include <stdexcept>
#include <string>

namespace guavashed
{

/// Point in time for tests, `ms` after an arbitrary start; passed to decisions as `now`.
inline instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::hours(1)) + milliseconds(ms);
}

/// The chart of `charts/upstream.json`, loaded once. Throws when it cannot be loaded.
inline chart const& upstream_chart()
{
    static chart const rules = []
    {
        auto loaded = chart::load(std::string(GUAVASHED_SOURCE_FOLDER) + "/charts/upstream.json",
                                  upstream_vocabulary());
        if (!loaded)
            throw std::runtime_error(to_string(loaded.error()));
        return std::move(loaded).value();
    }();
    return rules;
}

/// Announcement of the first incarnation of an upstream in region north.
inline upstream_announcement announcement(std::string const& name, std::uint32_t slots = 4)
{
    upstream_announcement announced;
    announced.name = upstream_name(name);
    announced.service = service_name("roster");
    announced.endpoint = endpoint_text("127.0.0.1:9");
    announced.region = region_name("north");
    announced.domain = failure_domain_name("north-a");
    announced.slots = slot_count(slots);
    announced.life = incarnation(1);
    return announced;
}

} // namespace guavashed
