/// \file
/// Defines the benches and how they print: one "name value unit" a line on standard output.
#pragma once

#include <cstdint>
#include <string>

namespace bench
{

/// Prints one figure. Thread safety: the main thread only.
void print(std::string const& name, double value, std::string const& unit);

/// Allocations of this thread so far.
std::uint64_t allocations();

/// Where the benches find programs and examples.
struct places
{
    std::string binaries;
    std::string examples;
    std::string work;
};

void run_decisions();
void run_lookups();
/// `baseline`: first come first served, no floors, no refusal.
void run_floods(places const& where, bool baseline);
void run_control(places const& where, unsigned controls);

} // namespace bench
