// Counts the bytes of operator new and operator delete.
#include "allocation_meter.hpp"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace
{

std::atomic<std::size_t> held{0};
std::atomic<std::size_t> most_held{0};

} // namespace

void* operator new(std::size_t bytes)
{
    void* const out = std::malloc(bytes);
    if (out == nullptr)
        throw std::bad_alloc();
    std::size_t const now = held += malloc_usable_size(out);
    std::size_t most = most_held;
    while (now > most && !most_held.compare_exchange_weak(most, now))
    {
    }
    return out;
}

void operator delete(void* item) noexcept
{
    held -= malloc_usable_size(item);
    std::free(item);
}

void operator delete(void* item, std::size_t) noexcept
{
    operator delete(item);
}

namespace guavashed
{

allocation_meter::allocation_meter() : at_start_(held)
{
    most_held = at_start_;
}

std::size_t allocation_meter::most() const
{
    return most_held - at_start_;
}

} // namespace guavashed
