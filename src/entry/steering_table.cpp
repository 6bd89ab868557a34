// Defines how the steering table is built from the configuration and the view, and the look-ups.
#include "entry/steering_table.hpp"

#include "base/invariant.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr std::uint32_t permille_total = 1000;
/// Seed of the draw that selects the blocks of a shift; the bytes are "SHIFT" in ASCII.
constexpr std::uint64_t shift_seed = 0x5348494654ULL;

/// Position of the region; the number of regions when there is none of that name.
std::uint32_t region_position(steering_sites const& sites, region_name const& name)
{
    auto const at = std::find(sites.regions.begin(), sites.regions.end(), name);
    return static_cast<std::uint32_t>(at - sites.regions.begin());
}

std::shared_ptr<steering_sites> make_sites(configuration const& config, fleet_view const& view)
{
    auto out = std::make_shared<steering_sites>();
    for (auto const& region : config.regions)
    {
        auto const position = static_cast<std::uint32_t>(out->regions.size());
        out->regions.push_back(region.name);
        out->region_hashes.push_back(stable_hash(region.name.value()));
        for (auto const& prefix : region.client_prefixes)
        {
            out->prefixes.push_back(prefix);
            out->prefix_region.push_back(position);
        }
        for (auto const& domain : region.failure_domains)
            out->sites.push_back({domain, position, stable_hash(domain.value()), {}});
    }
    GUAVASHED_INVARIANT(out->sites.size() < no_site)
        << out->sites.size() << " sites; a table word needs fewer than " << std::uint32_t{no_site};
    for (auto const& row : view.rows())
    {
        bool const excluded = row.phase != host_phase::serving ||
                              std::find(config.leaving_hosts.begin(), config.leaving_hosts.end(),
                                        row.host) != config.leaving_hosts.end();
        if (excluded)
            continue;
        for (auto& site : out->sites)
            if (site.domain == row.domain)
                site.hosts.push_back(
                    {row.host, row.caller_endpoint, stable_hash(row.host.value())});
    }
    out->region_sites.resize(out->regions.size());
    for (std::size_t i = 0; i < out->sites.size(); ++i)
        if (!out->sites[i].hosts.empty())
            out->region_sites[out->sites[i].region].push_back(static_cast<std::uint8_t>(i));
    return out;
}

/// Region to which the callers of a block of `own_region` are steered first, with the shifts
/// applied. The draw depends on the block only, so that a growing shift moves only the added
/// blocks.
std::uint32_t steered_region(steering_sites const& sites, configuration const& config,
                             std::size_t block, std::uint32_t own_region)
{
    std::uint32_t draw = static_cast<std::uint32_t>(mix_hash(shift_seed, block) % permille_total);
    for (auto const& shift : config.shifts)
    {
        if (region_position(sites, shift.from) != own_region)
            continue;
        if (draw < shift.current.value())
            return region_position(sites, shift.to);
        draw -= shift.current.value();
    }
    return own_region;
}

} // namespace

steering_table::steering_table(std::size_t blocks)
    : words_(blocks), sites_(std::make_shared<steering_sites>())
{
    GUAVASHED_INVARIANT(blocks > 0) << "steering table constructed with 0 blocks";
    for (auto& word : words_)
        word.store(~std::uint32_t{0}, std::memory_order_relaxed);
}

namespace
{

/// Builds a table word from sites, best first.
class word_builder
{
public:
    /// Adds up to `wanted` sites of a region in the order of rendezvous hashing, so that adding or
    /// removing a site moves only that site's blocks.
    void add_region(steering_sites const& sites, std::uint32_t region, std::size_t block,
                    std::size_t wanted)
    {
        std::uint8_t last = no_site;
        std::uint64_t previous_score = 0;
        for (std::size_t taken = 0; taken < wanted && count_ < sites_per_block; ++taken)
        {
            std::uint8_t best = no_site;
            std::uint64_t best_score = ~std::uint64_t{0};
            for (std::uint8_t const site : sites.region_sites[region])
            {
                std::uint64_t const score = mix_hash(sites.sites[site].hash, block);
                bool const later = last == no_site || score > previous_score;
                if (later && score < best_score)
                {
                    best = site;
                    best_score = score;
                }
            }
            if (best == no_site)
                return;
            last = best;
            previous_score = best_score;
            word_ &= ~(std::uint32_t{0xff} << (8 * count_));
            word_ |= std::uint32_t{best} << (8 * count_);
            ++count_;
        }
    }

    bool full() const { return count_ == sites_per_block; }
    std::uint32_t word() const { return word_; }

private:
    std::uint32_t word_ = ~std::uint32_t{0};
    std::size_t count_ = 0;
};

} // namespace

std::uint32_t steering_table::word_for(steering_sites const& sites, configuration const& config,
                                       std::size_t block) const
{
    auto const own_region = static_cast<std::uint32_t>(block % sites.regions.size());
    std::uint32_t const first = steered_region(sites, config, block, own_region);
    word_builder out;
    // The last entry is reserved for another region, in case all hosts of the first are lost.
    out.add_region(sites, first, block, sites_per_block - 1);
    if (own_region != first)
        out.add_region(sites, own_region, block, 1);
    std::uint64_t previous_score = 0;
    for (std::size_t tried = 0; tried < sites.regions.size() && !out.full(); ++tried)
    {
        std::uint32_t next = first;
        std::uint64_t next_score = ~std::uint64_t{0};
        for (std::uint32_t region = 0; region < sites.regions.size(); ++region)
        {
            std::uint64_t const score = mix_hash(sites.region_hashes[region], block);
            if (region != first && region != own_region && score > previous_score &&
                score < next_score)
            {
                next = region;
                next_score = score;
            }
        }
        if (next == first)
            break;
        previous_score = next_score;
        out.add_region(sites, next, block, sites_per_block);
    }
    return out.word();
}

std::size_t steering_table::rebuild(configuration const& config, fleet_view const& view)
{
    auto const sites = make_sites(config, view);
    if (sites->regions.empty())
        return 0;
    {
        while (lock_.test_and_set(std::memory_order_acquire))
        {
        }
        sites_ = sites;
        lock_.clear(std::memory_order_release);
    }
    std::size_t moved = 0;
    for (std::size_t block = 0; block < words_.size(); ++block)
    {
        std::uint32_t const word = word_for(*sites, config, block);
        std::uint32_t const old = words_[block].exchange(word, std::memory_order_relaxed);
        if ((old & 0xff) != (word & 0xff))
            ++moved;
    }
    return moved;
}

std::shared_ptr<steering_sites const> steering_table::sites() const
{
    while (lock_.test_and_set(std::memory_order_acquire))
    {
    }
    auto out = sites_;
    lock_.clear(std::memory_order_release);
    return out;
}

block_index steering_table::block_of(steering_sites const& sites, std::string_view client) const
{
    std::size_t longest = 0;
    std::uint64_t const hash = stable_hash(client);
    std::size_t const regions = std::max<std::size_t>(1, sites.regions.size());
    std::size_t region = hash % regions;
    for (std::size_t i = 0; i < sites.prefixes.size(); ++i)
        if (sites.prefixes[i].size() > longest && client.starts_with(sites.prefixes[i]))
        {
            longest = sites.prefixes[i].size();
            region = sites.prefix_region[i];
        }
    std::size_t const rows = words_.size() / regions;
    std::size_t const row = (hash >> 16) % std::max<std::size_t>(1, rows);
    return block_index(static_cast<std::uint32_t>((row * regions + region) % words_.size()));
}

steering_choice steering_table::choose(steering_sites const& sites, block_index block) const
{
    steering_choice out;
    std::uint32_t const word = words_[block.value()].load(std::memory_order_relaxed);
    for (std::size_t i = 0; i < sites_per_block; ++i)
    {
        std::size_t const position = (word >> (8 * i)) & 0xff;
        // During a rebuild the word may be newer or older than `sites`; numbers that are out of
        // range are skipped.
        if (position >= sites.sites.size())
            continue;
        steering_host const* best = nullptr;
        std::uint64_t best_score = 0;
        for (auto const& host : sites.sites[position].hosts)
        {
            std::uint64_t const score = mix_hash(host.hash, block.value());
            if (best == nullptr || score < best_score)
            {
                best = &host;
                best_score = score;
            }
        }
        if (best != nullptr)
            out.hosts[out.count++] = best;
    }
    return out;
}

} // namespace guavashed
