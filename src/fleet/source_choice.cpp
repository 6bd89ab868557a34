// Chooses the control host from which an entry host receives its view.
#include "fleet/source_choice.hpp"

#include <tuple>

namespace guavashed
{
namespace
{

/// A source is replaced by a control host whose round trip is shorter by this factor: round trips
/// within a failure domain, a region and between regions differ by more.
constexpr int nearer_factor = 2;

} // namespace

std::optional<source_switch> choose_source(std::vector<source_candidate> const& candidates,
                                           current_source const& source, instant now)
{
    source_candidate const* current = nullptr;
    for (auto const& item : candidates)
        if (item.control == source.control)
            current = &item;
    bool const is_heard = current != nullptr && current->is_heard;
    bool const view_timed_out = !source.has_view && now >= source.until;
    bool const is_settled = !source.has_view || now < source.until;
    if (is_heard && current->has_leader && is_settled && !view_timed_out)
        return std::nullopt;

    auto const rank = [&source](source_candidate const& item)
    {
        return std::tuple(!item.has_leader, source.has_view ? instant() : item.chosen_at,
                          item.round_trip);
    };
    source_candidate const* best = nullptr;
    for (auto const& item : candidates)
    {
        if (!item.is_heard || (view_timed_out && &item == current))
            continue;
        if (best == nullptr || rank(item) < rank(*best))
            best = &item;
    }
    if (best == nullptr || best == current)
        return std::nullopt;
    if (!is_heard)
        return source_switch{best->control,
                             current != nullptr && current->is_open ? "silent" : "nearest"};
    if (best->has_leader && !current->has_leader && now >= best->preferred_from)
        return source_switch{best->control, "no_leader"};
    // While nobody follows a leader, nobody delivers a view.
    if (view_timed_out && best->has_leader)
        return source_switch{best->control, "no_view"};
    if (!is_settled && best->round_trip * nearer_factor < current->round_trip)
        return source_switch{best->control, "nearest"};
    return std::nullopt;
}

} // namespace guavashed
