/// \file
/// Defines what a process of ours has cost so far, as the kernel counts it.
#pragma once

#include <sys/types.h>

namespace bench
{

/// Processor time used so far, in seconds; 0 when the process has ended.
double processor_seconds(pid_t process);
/// Resident memory, in megabytes; 0 when the process has ended.
double resident_mb(pid_t process);

} // namespace bench
