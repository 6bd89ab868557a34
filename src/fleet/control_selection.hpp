/// \file
/// Defines an entry host's choice of the control hosts that it connects to.
#pragma once

#include "base/instant.hpp"
#include "fleet/control_status.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace guavashed
{

/// Most control hosts of a fleet (docs/CAPACITY.md).
constexpr std::size_t max_controls = 18;

/// Control hosts with an open session, each with its status if that has arrived.
using control_statuses = std::map<endpoint_text, std::optional<control_status>>;

/// Returns the control hosts to connect to, `max_controls` at most: the members of the group first,
/// then the seeds, then hosts with an open session and hosts that these have heard. Those in
/// `current` stay unless a control host that follows a leader no longer lists them: without such a
/// host nobody knows who is gone. Thread safe.
std::set<endpoint_text> select_controls(std::vector<endpoint_text> const& seeds,
                                        std::vector<endpoint_text> const& current,
                                        control_statuses const& open);

/// When an entry host connects to a control host that it has just learned of. All entry hosts learn
/// of it at once: those that are served by another one connect at random within two seconds.
/// Thread safe.
instant connect_time(instant now, bool is_served, std::minstd_rand& random);

} // namespace guavashed
