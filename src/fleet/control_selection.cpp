// Chooses the control hosts that an entry host connects to.
#include "fleet/control_selection.hpp"

namespace guavashed
{
namespace
{

constexpr milliseconds connect_spread{2000};

} // namespace

std::set<endpoint_text> select_controls(std::vector<endpoint_text> const& seeds,
                                        std::vector<endpoint_text> const& current,
                                        control_statuses const& open)
{
    std::set<endpoint_text> out;
    auto const add = [&out](endpoint_text const& control)
    {
        if (out.size() < max_controls)
            out.insert(control);
    };
    bool follows_leader = false;
    for (auto const& [control, status] : open)
    {
        if (!status || !status->has_leader)
            continue;
        follows_leader = true;
        for (auto const& member : status->members)
            add(member);
    }
    for (auto const& seed : seeds)
        add(seed);
    for (auto const& [control, status] : open)
        add(control);
    for (auto const& [control, status] : open)
        if (status)
            for (auto const& other : status->others)
                add(other);
    if (!follows_leader)
        for (auto const& control : current)
            add(control);
    return out;
}

instant connect_time(instant now, bool is_served, std::minstd_rand& random)
{
    if (!is_served)
        return now;
    std::uniform_int_distribution<std::int64_t> spread(0, connect_spread.count());
    return now + milliseconds(spread(random));
}

} // namespace guavashed
