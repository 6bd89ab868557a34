/// \file
/// Defines steering_table, which maps each block of callers to the sites and hosts to use, in order
/// of preference.
///
/// A site is a failure domain of the configuration; only sites with entry hosts are used. The table
/// has one 32-bit word for each block: four site numbers of 8 bits, best first. Words are replaced
/// in place and atomically while look-ups run.
#pragma once

#include "base/ids.hpp"
#include "control/configuration.hpp"
#include "entry/fleet_view.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <string_view>
#include <vector>

namespace guavashed
{

inline constexpr std::size_t sites_per_block = 4;
/// Marks an unused entry of a table word.
inline constexpr std::uint8_t no_site = 0xff;

struct steering_host
{
    host_name name;
    endpoint_text caller_endpoint;
    std::uint64_t hash = 0;
};

struct steering_site
{
    failure_domain_name domain;
    std::uint32_t region = 0;
    std::uint64_t hash = 0;
    std::vector<steering_host> hosts;
};

/// Snapshot of the sites, hosts, regions and caller prefixes, replaced as a whole at each rebuild.
struct steering_sites
{
    std::vector<steering_site> sites;
    std::vector<region_name> regions;
    std::vector<std::uint64_t> region_hashes;
    /// For each region the numbers of its sites that have hosts.
    std::vector<std::vector<std::uint8_t>> region_sites;
    std::vector<std::string> prefixes;
    /// Region of each of `prefixes`.
    std::vector<std::uint32_t> prefix_region;
};

/// Hosts for one block, best first. Points into the snapshot that it was made from.
struct steering_choice
{
    std::array<steering_host const*, sites_per_block> hosts{};
    std::size_t count = 0;
};

/// Thread safety: `choose`, `block_of` and `sites` from any thread at any time; `rebuild` from one
/// thread only.
class steering_table
{
public:
    /// The number of blocks is fixed; block b belongs to region b modulo the number of regions.
    /// Precondition: blocks > 0.
    explicit steering_table(std::size_t blocks = 131'072);

    /// Recomputes the table from the serving hosts in view and the shifts in force. Returns the
    /// number of blocks whose first site changed. Does nothing when the configuration has no
    /// regions.
    std::size_t rebuild(configuration const& config, fleet_view const& view);

    /// The current snapshot, for `choose`; keep the pointer while a choice made from it is in use.
    std::shared_ptr<steering_sites const> sites() const;
    /// Block of a caller: its region is that of the longest matching prefix of the address text, or
    /// one by hash where none matches.
    block_index block_of(steering_sites const& sites, std::string_view client) const;
    /// Entry hosts for a block, one for each site. Does not allocate. Precondition: `block` came
    /// from `block_of` or is below `blocks()`.
    steering_choice choose(steering_sites const& sites, block_index block) const;

    std::size_t blocks() const { return words_.size(); }

private:
    std::uint32_t word_for(steering_sites const& sites, configuration const& config,
                           std::size_t block) const;

    std::vector<std::atomic<std::uint32_t>> words_;
    /// Spin lock that protects the pointer `sites_`.
    mutable std::atomic_flag lock_ = ATOMIC_FLAG_INIT;
    std::shared_ptr<steering_sites const> sites_;
};

} // namespace guavashed
