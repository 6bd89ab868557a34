/// \file
/// Defines fleet_options, the options that all tests with real processes share.
#pragma once

#include "platform_fleet.hpp"

#include <string>

namespace fleet_test
{

/// A fleet of the platform's daemon that works in a folder called `name`. Tests that run at the
/// same time need different names and ranges of ports.
inline platform_fleet_options fleet_options(std::string const& name, unsigned base_port)
{
    platform_fleet_options out;
    out.work_folder = std::string(GUAVASHED_BINARY_FOLDER) + "/run/" + name;
    out.binary = std::string(GUAVASHED_BINARY_FOLDER) + "/guavashed-platform";
    out.base_port = base_port;
    return out;
}

} // namespace fleet_test
