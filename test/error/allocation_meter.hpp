/// \file
/// Defines allocation_meter, which measures the memory that a test program takes by operator new.
#pragma once

#include <cstddef>

namespace guavashed
{

/// Counts the allocations of all threads of the program. Thread safe.
class allocation_meter
{
public:
    /// Starts to measure: forgets the most that was held so far.
    allocation_meter();
    /// Most bytes held at once since the start, beyond those held at the start.
    std::size_t most() const;

private:
    std::size_t at_start_;
};

} // namespace guavashed
