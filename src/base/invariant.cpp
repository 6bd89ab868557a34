// Reports failed invariants.
#include "base/invariant.hpp"

#include <atomic>
#include <cstdlib>
#include <iostream>

namespace guavashed
{
namespace
{

void print_and_abort(std::string const& message)
{
    std::cerr << message << std::endl;
    std::abort();
}

std::atomic<invariant_handler> current_handler{&print_and_abort};

} // namespace

invariant_failure::invariant_failure(char const* condition, char const* file, int line)
{
    message_ << "invariant failed: " << condition << " at " << file << ":" << line << ": ";
}

invariant_failure::~invariant_failure() noexcept(false)
{
    current_handler.load()(message_.str());
}

invariant_handler install_invariant_handler(invariant_handler handler)
{
    return current_handler.exchange(handler);
}

} // namespace guavashed
