/// \file
/// Defines queries for the processor time and the memory of a process, as the kernel counts them.
#pragma once

#include <sys/types.h>

namespace bench
{

/// User and system time used since the process started, in seconds; 0 when the process has ended.
double processor_seconds(pid_t process);
/// Resident memory in megabytes (1e6 bytes); 0 when the process has ended.
double resident_mb(pid_t process);

} // namespace bench
