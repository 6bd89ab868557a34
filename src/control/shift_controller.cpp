#include "control/shift_controller.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr std::chrono::seconds step_interval{2};
constexpr std::uint32_t strained_to_turn_back = 3;
constexpr double busy_share = 0.9;
constexpr double normal_smoothing = 0.1;

permille toward(permille from, permille target, permille step)
{
    std::uint32_t const current = from.value();
    if (current < target.value())
        return permille(std::min(target.value(), current + step.value()));
    return permille(std::max<std::uint32_t>(target.value(),
                                            current > step.value() ? current - step.value() : 0));
}

} // namespace

std::optional<shift_decision> shift_controller::decide(instant now, shift_config const& shift,
                                                       std::optional<region_load> const& load)
{
    track& item = tracks_[shift.from.value() + " to " + shift.to.value()];
    if (!load || load->slots.value() == 0)
        return std::nullopt;
    double const us = static_cast<double>(load->mean_service.count());
    if (item.normal_us == 0 || us < item.normal_us)
        item.normal_us = us;
    if (now < item.next_step)
        return std::nullopt;
    item.next_step = now + step_interval;
    bool const raising = shift.current < shift.target;
    if (!raising && shift.current == shift.target)
    {
        item.normal_us += normal_smoothing * (us - item.normal_us);
        return std::nullopt;
    }
    bool const slow = us * 1000 > item.normal_us * shift.hold_above.value();
    bool const busy = load->in_flight.value() > busy_share * load->slots.value();
    if (raising && (slow || busy))
    {
        if (++item.strained < strained_to_turn_back || shift.current.value() == 0)
            return std::nullopt;
        item.strained = 0;
        return shift_decision{toward(shift.current, permille(0), shift.step),
                              slow ? "receiver serves slowly" : "receiver's slots are full"};
    }
    item.strained = 0;
    return shift_decision{toward(shift.current, shift.target, shift.step), "receiver is healthy"};
}

} // namespace guavashed
