/// \file
/// Defines GUAVASHED_INVARIANT, an assertion that is active in all build types.
#pragma once

#include <sstream>

namespace guavashed
{

/// Collects the message of a failed invariant and calls the failure handler when it is destroyed.
class invariant_failure
{
public:
    /// Starts the message with the condition and its source location. Thread safe; an `operator<<`
    /// used for the message must not itself fail an invariant.
    invariant_failure(char const* condition, char const* file, int line);
    invariant_failure(invariant_failure const&) = delete;
    invariant_failure& operator=(invariant_failure const&) = delete;
    /// Calls the failure handler; the default prints to standard error and aborts.
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

/// Receives the complete message of a failed invariant.
using invariant_handler = void (*)(std::string const& message);

/// Replaces the handler and returns the previous one; tests use it to turn a failure into an
/// exception.
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
