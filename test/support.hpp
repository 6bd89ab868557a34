/// \file
/// Defines small helpers that several tests share: a fake clock and the upstream chart.
#pragma once

#include "base/chart.hpp"
#include "base/instant.hpp"
#include "entry/upstream_pool.hpp"

#include <stdexcept>
#include <string>

namespace guavashed
{

/// A point in time for tests; decisions take it as `now`.
inline instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::hours(1)) + milliseconds(ms);
}

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
