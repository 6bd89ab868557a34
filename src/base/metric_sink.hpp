/// \file
/// Defines metric_sink, by which parts of a process add lines to its metrics.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace guavashed
{

/// Adds one metric; the process's prefix is put before `name`. Thread safety: as its maker states.
using metric_sink = std::function<void(std::string const& name, std::uint64_t value)>;

} // namespace guavashed
