/// \file
/// Defines the check of a valid configuration for entries without effect and limits that contradict
/// each other, and the difference between two configurations.
#pragma once

#include "access/access_config.hpp"
#include "routing/route_config.hpp"

#include <set>
#include <string>
#include <vector>

namespace guavashed
{

enum class config_finding_kind
{
    /// The entry can never match a request, or names something that does not exist.
    without_effect,
    /// Two limits of the entry contradict each other.
    contradiction
};

/// A fault of a configuration that is valid.
struct config_finding
{
    config_finding_kind kind = config_finding_kind::without_effect;
    /// Such as "route payments".
    std::string item;
    std::string detail;

    bool operator==(config_finding const&) const = default;
};

/// A configuration, or the one that it would replace.
struct checked_config
{
    routing_config routing;
    access_config access;
};

/// Finds entries without effect and contradicting limits, in the order of the configuration.
/// `known_regions` are the regions of the deployment; empty if they are not known. Precondition:
/// the configuration is valid. Thread safe.
std::vector<config_finding> check_config(checked_config const& config,
                                         std::set<region_name> const& known_regions);

/// One line for each item that is added, removed or changed between `before` and `after`, with the
/// fields that differ. Keys are counted, never named. Thread safe.
std::vector<std::string> config_difference(checked_config const& before,
                                           checked_config const& after);

} // namespace guavashed
