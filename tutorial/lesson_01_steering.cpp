/// \file
/// Lesson 1: which entry host should a caller use?
///
/// Steering divides all callers into blocks. A steering table lists for each block the entry hosts
/// to use, best first. It is built from the configuration and from the hosts that are in view.
///
/// Run it:
///     build/tutorial/lesson_01_steering
#include "entry/steering_table.hpp"

#include <iostream>

using namespace guavashed;

int main()
{
    // The configuration has two regions with one failure domain each. A caller belongs to the
    // region whose client prefix fits its address.
    configuration config;
    config.regions.resize(2);
    config.regions[0].name = region_name("north");
    config.regions[0].failure_domains = {failure_domain_name("north-a")};
    config.regions[0].client_prefixes = {"10.1."};
    config.regions[1].name = region_name("south");
    config.regions[1].failure_domains = {failure_domain_name("south-a")};
    config.regions[1].client_prefixes = {"10.2."};

    // Each region has one entry host. In a deployment, control pushes this view of the hosts;
    // `whole` marks a push that replaces the view rather than changing it.
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

    // Rebuilding the table does the expensive work. A look-up then only reads the table: it finds
    // the caller's block, and the hosts of that block. The caller here is in south, so that its
    // first host is entry-south. The second one is the fallback.
    steering_table table(1024);
    table.rebuild(config, view);
    auto const sites = table.sites();
    steering_choice const choice = table.choose(*sites, table.block_of(*sites, "10.2.0.7"));
    for (std::size_t i = 0; i < choice.count; ++i)
        std::cout << i + 1 << ". " << choice.hosts[i]->name << "\n";

    // An operator can shift callers from one region to another. This shift moves all of south's
    // callers (1000 permille) to north, so that the first host changes for half of the blocks.
    shift_config shift;
    shift.from = region_name("south");
    shift.to = region_name("north");
    shift.target = shift.current = permille(1000);
    config.shifts = {shift};
    std::size_t const moved = table.rebuild(config, view);
    std::cout << "the shift moved " << moved << " of " << table.blocks() << " blocks\n";
    return moved == table.blocks() / 2 ? 0 : 1;
}
