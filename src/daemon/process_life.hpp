/// \file
/// Defines process_lifecycle, the fixed state machine of a daemon from start to exit.
#pragma once

#include <cstdint>
#include <memory>

namespace guavashed
{

enum class process_phase : std::uint8_t
{
    starting,
    serving,
    draining,
    stopped
};

enum class process_event : std::uint8_t
{
    started,
    stop_requested,
    drained,
    failed
};

/// Thread safety: none; the main thread owns it.
class process_lifecycle
{
public:
    process_lifecycle();
    ~process_lifecycle();

    /// Moves the phase; an event that the phase does not allow is ignored and counted.
    void fire(process_event event);
    process_phase phase() const;
    std::uint64_t ignored() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

/// The phase's name. Thread safe.
char const* to_string(process_phase phase);

} // namespace guavashed
