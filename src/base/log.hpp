/// \file
/// Defines the log: structured lines on standard output, written by a thread of its own.
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

/// Sets the process's name in each line and starts the writer. Call once, at start.
void start_log(std::string const& process_name);

/// Queues one structured line: `event=... key=value ...`. Never blocks: a line that finds the queue
/// full is dropped and counted. Thread safe.
/// Precondition: `fields` holds no key of a caller, an operator or the cluster.
void log_change(log_level level, std::string_view event, std::string const& fields);

/// The same for a decision that touches one request; under load lines beyond a bound for each
/// second are dropped and counted. Thread safe.
void log_request(std::string_view event, std::string const& fields);

/// Lines dropped so far. Thread safe.
std::uint64_t log_lines_dropped();

/// Writes what is queued and ends the writer; later lines are dropped. Call once, at the end.
void stop_log();

} // namespace guavashed
