/// \file
/// Defines the benches and their output: one line "name value unit" for each figure, on standard
/// output.
#pragma once

#include <cstdint>
#include <string>

namespace bench
{

/// Prints one figure. Thread safety: to be called from the main thread only.
void print(std::string const& name, double value, std::string const& unit);

/// Number of allocations that the calling thread has made through operator new. Thread safe.
std::uint64_t allocations();

/// Folders of the programs, of the examples and of the benches' working files.
struct bench_paths
{
    std::string binaries;
    std::string examples;
    std::string work;
};

/// Measures the time and the allocations of one steering decision and of one admission decision.
void run_decisions();
/// Measures the throughput of look-ups over HTTP, relative to a server that does no other work.
void run_lookups();
/// Measures what a flood of one kind of work costs the other kinds. With `baseline`, the entry
/// hosts serve work in order of arrival, without floors and without refusing late work.
void run_floods(bench_paths const& where, bool baseline);
/// Measures a deployment with `controls` control hosts: idle cost, time until a change is in force,
/// failover after the leader is killed, and catch-up of a host that lost its data.
void run_control(bench_paths const& where, unsigned controls);

} // namespace bench
