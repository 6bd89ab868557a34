/// \file
/// Defines process_lifecycle, the state machine of the daemon process from startup to exit.
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

/// The current phase of the process. Thread safety: none; the main thread owns it.
class process_lifecycle
{
public:
    process_lifecycle();
    ~process_lifecycle();

    /// Applies an event; one without a transition from the current phase is ignored and counted.
    void fire(process_event event);
    process_phase phase() const;
    /// Number of ignored events.
    std::uint64_t ignored() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

/// The phase's name. Thread safe.
char const* to_string(process_phase phase);

} // namespace guavashed
