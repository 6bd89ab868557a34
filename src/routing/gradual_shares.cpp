// Moves the shares of regions towards their targets, at once where upstreams have failed.
#include "routing/gradual_shares.hpp"

#include <algorithm>
#include <map>

namespace guavashed
{
namespace
{

/// After the first request of a service, its upstreams may still be registering. The first targets
/// are far from the later ones, and following them slowly would overload the first region seen.
constexpr milliseconds registration_time{10000};
/// Shares closer than this are equal.
constexpr double negligible = 1e-9;

} // namespace

gradual_shares::gradual_shares(std::vector<region_share> target, double max_shift_per_s,
                               instant now)
    : max_shift_per_s_(max_shift_per_s), started_(now), updated_(now), shares_(std::move(target))
{
    for (auto const& item : shares_)
        targets_.push_back(item.share);
}

double gradual_shares::remaining() const
{
    double out = 0;
    for (std::size_t i = 0; i < shares_.size(); ++i)
        out += std::max(0.0, excess(i));
    return out;
}

double gradual_shares::set_target(std::vector<region_share> target,
                                  std::set<region_name> const& failed, instant now)
{
    at(now);
    bool const is_empty = std::all_of(shares_.begin(), shares_.end(),
                                      [](auto const& item) { return item.share <= 0; });
    if (now < started_ + registration_time || is_empty || target.empty())
    {
        *this = gradual_shares(std::move(target), max_shift_per_s_, started_);
        updated_ = now;
        return 0;
    }
    std::map<region_name, std::pair<double, double>> merged;
    for (auto const& item : shares_)
        merged[item.region].first = item.share;
    for (auto const& item : target)
        merged[item.region].second = item.share;
    shares_.clear();
    targets_.clear();
    double freed = 0;
    double missing = 0;
    for (auto const& [region, shares] : merged)
    {
        auto [share, wanted] = shares;
        if (share > wanted && failed.contains(region))
        {
            freed += share - wanted;
            share = wanted;
        }
        missing += std::max(0.0, wanted - share);
        shares_.push_back({region, share});
        targets_.push_back(wanted);
    }
    if (freed > 0 && missing > 0)
        for (std::size_t i = 0; i < shares_.size(); ++i)
            shares_[i].share += std::max(0.0, -excess(i)) * std::min(1.0, freed / missing);
    reached_ = false;
    return remaining();
}

std::vector<region_share> const& gradual_shares::at(instant now)
{
    double const elapsed_s = std::chrono::duration<double>(now - updated_).count();
    updated_ = now;
    if (reached_)
        return shares_;
    double const left = remaining();
    double const step = std::max(0.0, elapsed_s) * max_shift_per_s_;
    reached_ = left <= step + negligible;
    for (std::size_t i = 0; i < shares_.size(); ++i)
        shares_[i].share = reached_ ? targets_[i] : shares_[i].share - excess(i) * (step / left);
    return shares_;
}

} // namespace guavashed
