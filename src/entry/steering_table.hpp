/// \file
/// Defines steering_table, which names for each client block the sites and hosts to use, in order.
///
/// A site is a failure domain that has entry hosts. The table is one 32-bit word for each block:
/// four site numbers, best first. Words are replaced in place while look-ups go on.
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

/// The parts of a look-up that change only when hosts come or go; replaced as a whole.
struct steering_sites
{
    std::vector<steering_site> sites;
    std::vector<region_name> regions;
    std::vector<std::uint64_t> region_hashes;
    /// Numbers of the sites with hosts, for each region.
    std::vector<std::vector<std::uint8_t>> region_sites;
    std::vector<std::string> prefixes;
    std::vector<std::uint32_t> prefix_region;
};

/// Hosts for one block, best first. Points into the sites it was made from.
struct steering_choice
{
    std::array<steering_host const*, sites_per_block> hosts{};
    std::size_t count = 0;
};

/// Thread safety: `choose`, `block_of` and `sites` from any thread at any time; `rebuild` from one.
class steering_table
{
public:
    /// `blocks` is rounded up to a power of two times the number of regions at the first rebuild.
    explicit steering_table(std::size_t blocks = 131'072);

    /// Brings the table in line with the hosts in view and the shifts in force. Returns how many
    /// blocks have another first site than before: what the change moves.
    std::size_t rebuild(configuration const& config, fleet_view const& view);

    /// The sites in force, for `choose`; hold the pointer while using a choice.
    std::shared_ptr<steering_sites const> sites() const;
    /// Block of a caller, from its address text and the region whose prefix fits it best.
    block_index block_of(steering_sites const& sites, std::string_view client) const;
    /// Entry hosts for a block; no allocation. Precondition: `block` came from `block_of` or is
    /// below `blocks()`.
    steering_choice choose(steering_sites const& sites, block_index block) const;

    std::size_t blocks() const { return words_.size(); }

private:
    std::uint32_t word_for(steering_sites const& sites, configuration const& config,
                           std::size_t block) const;

    std::vector<std::atomic<std::uint32_t>> words_;
    mutable std::atomic_flag lock_ = ATOMIC_FLAG_INIT;
    std::shared_ptr<steering_sites const> sites_;
};

} // namespace guavashed
