// Estimates quantiles with Boost.Accumulators.
#include "base/latency_meter.hpp"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <sstream>

namespace guavashed
{
namespace
{
namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles = {0.5, 0.9, 0.99};
char const* const rank_names[rank_count] = {"urgent", "normal", "archive"};

using meter = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::extended_p_square_quantile>>;

} // namespace

struct latency_meter::accumulators
{
    std::array<meter, rank_count> ranks = {meter(acc::extended_p_square_probabilities = quantiles),
                                           meter(acc::extended_p_square_probabilities = quantiles),
                                           meter(acc::extended_p_square_probabilities = quantiles)};
};

latency_meter::latency_meter() : accumulators_(std::make_unique<accumulators>()) {}
latency_meter::~latency_meter() = default;

void latency_meter::add(rank importance, microseconds took)
{
    accumulators_->ranks[index_of(importance)](static_cast<double>(took.count()));
}

std::string latency_meter::print() const
{
    std::ostringstream out;
    for (std::size_t r = 0; r < rank_count; ++r)
    {
        meter const& item = accumulators_->ranks[r];
        out << "guavashed_answer_us_count{rank=\"" << rank_names[r] << "\"} " << acc::count(item)
            << "\n";
        if (acc::count(item) == 0)
            continue;
        out << "guavashed_answer_us_mean{rank=\"" << rank_names[r] << "\"} " << acc::mean(item)
            << "\n";
        for (double const p : quantiles)
            out << "guavashed_answer_us{rank=\"" << rank_names[r] << "\",quantile=\"" << p << "\"} "
                << acc::quantile(item, acc::quantile_probability = p) << "\n";
    }
    return out.str();
}

} // namespace guavashed
