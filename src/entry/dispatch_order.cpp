// Defines the dispatch orders: priority with floors, strict priority and order of arrival.
#include "entry/admission_queue.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Credit that pays for one dispatch.
constexpr double full_credit = 1.0;
/// Most credit that a waiting rank accumulates, in dispatches.
constexpr double max_credit = 2.0;
constexpr double permille_unit = 1000.0;

using heads = std::array<std::uint64_t, rank_count>;

std::optional<rank> first_waiting(heads const& head_sequence)
{
    for (std::size_t r = 0; r < rank_count; ++r)
        if (head_sequence[r] != no_sequence)
            return static_cast<rank>(r);
    return std::nullopt;
}

/// Priority order with floors. At each dispatch each waiting rank earns its floor as credit; ranks
/// with a full credit go first, and without one the highest waiting rank is served.
class ranked_order : public dispatch_order
{
public:
    explicit ranked_order(std::array<permille, rank_count> const& floors)
    {
        for (std::size_t r = 0; r < rank_count; ++r)
            floors_[r] = floors[r].value() / permille_unit;
    }

    std::optional<rank> choose(heads const& head_sequence) override
    {
        auto const first = first_waiting(head_sequence);
        if (!first)
            return std::nullopt;
        earn(head_sequence);
        std::size_t chosen = index_of(*first);
        for (std::size_t r = 0; r < rank_count; ++r)
            if (head_sequence[r] != no_sequence && credit_[r] >= full_credit)
            {
                chosen = r;
                break;
            }
        credit_[chosen] = std::max(0.0, credit_[chosen] - full_credit);
        return static_cast<rank>(chosen);
    }

    double expected_share(rank r, std::array<bool, rank_count> const& waiting) const override
    {
        double reserved_for_others = 0;
        bool higher_rank_waits = false;
        for (std::size_t other = 0; other < rank_count; ++other)
        {
            if (other == index_of(r) || !waiting[other])
                continue;
            reserved_for_others += floors_[other];
            higher_rank_waits = higher_rank_waits || other < index_of(r);
        }
        if (higher_rank_waits)
            return floors_[index_of(r)];
        return 1.0 - reserved_for_others;
    }

    bool refuses_unmeetable_deadlines() const override { return true; }

private:
    /// Adds one dispatch's credit. A rank without waiting work keeps at most one floor, so that it
    /// saves up no credit while it is idle.
    void earn(heads const& head_sequence)
    {
        for (std::size_t r = 0; r < rank_count; ++r)
        {
            if (head_sequence[r] == no_sequence)
                credit_[r] = std::min(credit_[r], floors_[r]);
            else
                credit_[r] = std::min(max_credit, credit_[r] + floors_[r]);
        }
    }

    std::array<double, rank_count> floors_{};
    std::array<double, rank_count> credit_{};
};

class strict_order : public dispatch_order
{
public:
    std::optional<rank> choose(heads const& head_sequence) override
    {
        return first_waiting(head_sequence);
    }
    double expected_share(rank r, std::array<bool, rank_count> const& waiting) const override
    {
        for (std::size_t other = 0; other < index_of(r); ++other)
            if (waiting[other])
                return 0.0;
        return 1.0;
    }
    bool refuses_unmeetable_deadlines() const override { return true; }
};

class arrival_order : public dispatch_order
{
public:
    std::optional<rank> choose(heads const& head_sequence) override
    {
        auto const oldest = std::min_element(head_sequence.begin(), head_sequence.end());
        if (*oldest == no_sequence)
            return std::nullopt;
        return static_cast<rank>(oldest - head_sequence.begin());
    }
    double expected_share(rank, std::array<bool, rank_count> const&) const override { return 1.0; }
    bool refuses_unmeetable_deadlines() const override { return false; }
};

} // namespace

std::unique_ptr<dispatch_order> make_ranked_order(std::array<permille, rank_count> const& floors)
{
    return std::make_unique<ranked_order>(floors);
}

std::unique_ptr<dispatch_order> make_strict_order()
{
    return std::make_unique<strict_order>();
}

std::unique_ptr<dispatch_order> make_arrival_order()
{
    return std::make_unique<arrival_order>();
}

} // namespace guavashed
