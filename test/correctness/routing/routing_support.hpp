/// \file
/// Defines small configurations, upstreams and views shared by the routing tests.
#pragma once

#include "fleet/view_messages.hpp"
#include "routing/route_config.hpp"
#include "routing/upstream_selector.hpp"
#include "support.hpp"

#include <string>

namespace guavashed
{

inline route_config roster_route()
{
    route_config route;
    route.name = "checks";
    route.host = "roster.example";
    route.path_prefix = "/roster/";
    route.idempotent = true;
    route.timeout_ms = 1000;
    route.objective_ms = 400;
    route.max_attempts = 2;
    route.affinity = true;
    route.parts.push_back({service_name("roster"), 1});
    return route;
}

inline routing_config roster_config(std::uint64_t version = 1)
{
    routing_config config;
    config.version = config_version(version);
    config.routes.push_back(roster_route());
    config.services.push_back({service_name("roster"), "/health", 100, 3.0, 6.0});
    return config;
}

inline std::map<failure_domain_name, region_name> two_regions()
{
    return {{failure_domain_name("north-a"), region_name("north")},
            {failure_domain_name("south-a"), region_name("south")}};
}

inline upstream_row roster_upstream(std::string const& id, std::string const& domain = "north-a")
{
    upstream_row row;
    row.id = upstream_name(id);
    row.service = service_name("roster");
    row.address = endpoint_text("127.0.0.1:9");
    row.domain = failure_domain_name(domain);
    row.slots = 4;
    row.born_ms = 1000;
    return row;
}

/// A complete view of `count` upstreams in region "north" and of `entries` entry hosts "e0", "e1"
/// and so on.
inline fleet_changes whole_view(std::size_t count, std::size_t entries = 4)
{
    fleet_changes view;
    view.to = 1;
    view.whole = true;
    for (std::size_t i = 0; i < count; ++i)
        view.upstreams.push_back({roster_upstream("u" + std::to_string(i)), 0, false});
    for (std::size_t i = 0; i < entries; ++i)
        view.entries.push_back(entry_hash(host_name("e" + std::to_string(i))));
    return view;
}

/// The board of entry host `self` in failure domain "north-a", with `view` applied.
inline upstream_selector board_of(fleet_changes const& view, std::string const& self = "e0")
{
    upstream_selector board(
        {host_name(self), region_name("north"), failure_domain_name("north-a"), two_regions()}, 1);
    board.configure(roster_config());
    board.apply(view, at_ms(0));
    return board;
}

/// Picks an upstream for a request with affinity key `object`; returns its id, or an empty string
/// if none is picked.
inline std::string pick_for(upstream_selector& board, std::string const& object,
                            std::int64_t now_ms, std::set<upstream_name> const& tried = {})
{
    static route_config const route = roster_route();
    pick_refusal refusal;
    auto const chosen =
        board.choose({route, route.parts[0].service, object, tried, at_ms(now_ms + 1000)},
                     at_ms(now_ms), refusal);
    return chosen ? chosen->id.value() : std::string();
}

} // namespace guavashed
