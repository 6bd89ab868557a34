/// \file
/// Defines GUAVASHED_INVARIANT, the always-on assertion of what must hold inside the program.
#pragma once

#include <sstream>

namespace guavashed
{

/// Streams what, where and with which state, then ends the process when it goes out of scope.
class invariant_failure
{
public:
    /// Starts the message. Thread safe; not reentrant from its own output.
    invariant_failure(char const* condition, char const* file, int line);
    invariant_failure(invariant_failure const&) = delete;
    invariant_failure& operator=(invariant_failure const&) = delete;
    /// Calls the failure handler, by default: prints to standard error and aborts.
    ~invariant_failure() noexcept(false);

    template <class T>
    invariant_failure& operator<<(T const& item)
    {
        message_ << item;
        return *this;
    }

private:
    std::ostringstream message_;
};

/// Called with the whole message of a failed invariant.
using invariant_handler = void (*)(std::string const& message);

/// Replaces the handler, so that a test can see a failure as an exception; returns the old one.
/// Thread safe. Precondition: none.
invariant_handler install_invariant_handler(invariant_handler handler);

} // namespace guavashed

/// Example: `GUAVASHED_INVARIANT(used <= cap) << "upstream " << name << " used " << used;`
#define GUAVASHED_INVARIANT(condition)                                                             \
    if (condition)                                                                                 \
    {                                                                                              \
    }                                                                                              \
    else                                                                                           \
        ::guavashed::invariant_failure(#condition, __FILE__, __LINE__)
