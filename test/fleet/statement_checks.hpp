/// \file
/// Defines the check that entry hosts keep to what upstreams say of themselves in their answers.
#pragma once

#include "platform_caller.hpp"
#include "platform_upstream.hpp"

#include <map>
#include <string>
#include <vector>

namespace fleet_test
{

/// A time in which a host or a link was disturbed.
struct disturbance
{
    guavashed::instant from;
    guavashed::instant until = guavashed::instant::max();
};

/// By caller endpoint of an entry host, or by id of an upstream whose link was disturbed.
using disturbances = std::map<std::string, std::vector<disturbance>>;

/// Checks that no upstream gets a request that was sent to an entry host later than the drain bound
/// after that host had passed on an answer in which the upstream states that it leaves; and that an
/// upstream gets at most two requests of an entry host from half a second after it asked that host
/// for a pause to the end of the pause. A disturbance since the statement excuses the host. Returns
/// one line for each violation. Thread safe.
std::vector<std::string>
check_statements(std::map<std::string, standin::platform_call> const& calls,
                 std::vector<standin::platform_upstream_record> const& records,
                 disturbances const& excuses = {});

} // namespace fleet_test
