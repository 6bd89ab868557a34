/// \file
/// Runs all benches, or the one named with --only=. The global operator new is replaced to count
/// allocations.
#include "arguments.hpp"
#include "figures.hpp"

#include <cstdio>
#include <cstdlib>
#include <new>

namespace
{
thread_local std::uint64_t allocation_count = 0;
}

void* operator new(std::size_t size)
{
    ++allocation_count;
    if (void* const block = std::malloc(size))
        return block;
    throw std::bad_alloc();
}
void operator delete(void* block) noexcept
{
    std::free(block);
}
void operator delete(void* block, std::size_t) noexcept
{
    std::free(block);
}

namespace bench
{

std::uint64_t allocations()
{
    return allocation_count;
}

void print(std::string const& name, double value, std::string const& unit)
{
    std::printf("%s %.4g %s\n", name.c_str(), value, unit.c_str());
    std::fflush(stdout);
}

} // namespace bench

int main(int argc, char** argv)
{
    standin::arguments const given(argc, argv);
    bench::bench_paths const where{given.text("binaries", "build"),
                                   given.text("examples", "examples"),
                                   given.text("work", "run/bench")};
    std::string const only = given.text("only");
    auto const wanted = [&](char const* name) { return only.empty() || only == name; };
    if (wanted("decisions"))
        bench::run_decisions();
    if (wanted("lookups"))
        bench::run_lookups();
    if (wanted("floods"))
        bench::run_floods(where, false);
    if (wanted("baseline"))
        bench::run_floods(where, true);
    if (wanted("control3"))
        bench::run_control(where, 3);
    if (wanted("control5"))
        bench::run_control(where, 5);
    return 0;
}
