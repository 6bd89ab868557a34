/// \file
/// Lesson 1: which entry host should a caller use?
///
/// A steering table answers from the configuration and the hosts in view. Run it:
///     build/tutorial/lesson_01_steering
#include "entry/steering_table.hpp"

#include <iostream>

using namespace guavashed;

int main()
{
    // Two regions with one failure domain each. A caller is near a region by its address' prefix.
    configuration config;
    config.regions.resize(2);
    config.regions[0].name = region_name("north");
    config.regions[0].failure_domains = {failure_domain_name("north-a")};
    config.regions[0].client_prefixes = {"10.1."};
    config.regions[1].name = region_name("south");
    config.regions[1].failure_domains = {failure_domain_name("south-a")};
    config.regions[1].client_prefixes = {"10.2."};

    // One entry host in each, as control would report them.
    view_push push;
    push.whole = true;
    for (char const* region : {"north", "south"})
    {
        host_row row;
        row.host = host_name(std::string("entry-") + region);
        row.region = region_name(region);
        row.domain = failure_domain_name(std::string(region) + "-a");
        row.phase = host_phase::serving;
        push.changed.push_back(row);
    }
    fleet_view view;
    view.apply(push);

    // The table is built once; look-ups then only read it.
    steering_table table(1024);
    table.rebuild(config, view);
    auto const sites = table.sites();
    steering_choice const choice = table.choose(*sites, table.block_of(*sites, "10.2.0.7"));
    for (std::size_t i = 0; i < choice.count; ++i)
        std::cout << i + 1 << ". " << choice.hosts[i]->name << "\n";

    // A shift of all of south's callers to north changes the first answer.
    shift_config shift;
    shift.from = region_name("south");
    shift.to = region_name("north");
    shift.target = shift.current = permille(1000);
    config.shifts = {shift};
    std::size_t const moved = table.rebuild(config, view);
    std::cout << "the shift moved " << moved << " of " << table.blocks() << " blocks\n";
    return moved == table.blocks() / 2 ? 0 : 1;
}
