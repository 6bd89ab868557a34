// Step-by-step shifts of callers between regions, paced by the load of the receiving region.
#include "control/shift_controller.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr std::chrono::seconds step_interval{2};
/// The share goes back by one step after this many consecutive overloaded checks.
constexpr std::uint32_t overloaded_checks_to_step_back = 3;
/// The receiving region is overloaded while more than this part of its slots is in use.
constexpr double busy_utilization = 0.9;
/// Weight of a new sample in the baseline, which rises only while no shift is in progress.
constexpr double baseline_smoothing = 0.1;

permille step_toward(permille from, permille target, permille step)
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
    if (item.baseline_us == 0 || us < item.baseline_us)
        item.baseline_us = us;
    if (now < item.next_step)
        return std::nullopt;
    item.next_step = now + step_interval;
    bool const raising = shift.current < shift.target;
    if (!raising && shift.current == shift.target)
    {
        item.baseline_us += baseline_smoothing * (us - item.baseline_us);
        return std::nullopt;
    }
    bool const slow = us * 1000 > item.baseline_us * shift.hold_above.value();
    bool const busy = load->in_flight.value() > busy_utilization * load->slots.value();
    if (raising && (slow || busy))
    {
        if (++item.overloaded_checks < overloaded_checks_to_step_back || shift.current.value() == 0)
            return std::nullopt;
        item.overloaded_checks = 0;
        return shift_decision{step_toward(shift.current, permille(0), shift.step),
                              slow ? "service time of the receiving region is above hold_above"
                                   : "slots of the receiving region are nearly all in use"};
    }
    item.overloaded_checks = 0;
    return shift_decision{step_toward(shift.current, shift.target, shift.step),
                          "receiving region is not overloaded"};
}

} // namespace guavashed
