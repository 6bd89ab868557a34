/// \file
/// Defines the log functions: structured lines to standard output, written by a separate thread.
#pragma once

#include <cstdint>
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

/// Sets the process name shown in each line and starts the writer thread. Call once, at startup.
void start_log(std::string const& process_name);

/// Queues one structured line: `event=... key=value ...`. Never waits for output: when the buffer
/// is full, the line is dropped and counted. Thread safe. Precondition: `fields` contains no
/// secret: no key of a caller, an operator or the cluster.
void log_change(log_level level, std::string_view event, std::string const& fields);

/// Like `log_change`, at level info, for a decision about a single request. The rate is limited;
/// lines beyond the limit in a second are dropped and counted. Thread safe.
void log_request(std::string_view event, std::string const& fields);

/// Number of lines dropped since the start. Thread safe.
std::uint64_t log_lines_dropped();

/// Flushes the buffer and stops the writer thread; later lines are dropped. Call once, at shutdown.
void stop_log();

} // namespace guavashed
