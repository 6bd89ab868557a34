/// \file
/// Defines the log: one line for each change of state; what repeats is counted in metrics instead.
#pragma once

#include <string>
#include <string_view>

namespace guavashed
{

enum class log_level
{
    info,
    warning,
    error
};

/// Sets the process's name in each line and sends lines to standard error. Call once, at start.
void start_log(std::string const& process_name);

/// Writes one structured line: `event=... key=value ...`. Thread safe.
/// Precondition: `fields` holds no key of a caller, an operator or the cluster.
void log_change(log_level level, std::string_view event, std::string const& fields);

} // namespace guavashed
