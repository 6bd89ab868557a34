/// \file
/// Defines transfer_progress, which records when a transfer last moved.
#pragma once

#include "base/instant.hpp"

#include <cstddef>

namespace guavashed
{

/// Progress of a peer that reads or sends bytes. A step is a number of bytes, not one byte: a peer
/// that moves a byte now and then holds memory for nearly as long as one that has stopped. Thread
/// safety: none.
class transfer_progress
{
public:
    /// Small against an answer of 90 KB, and above what a trickling peer moves in seconds.
    static constexpr std::size_t step_bytes = 16 * 1024;

    /// Starts a transfer. No preconditions.
    void start(instant now)
    {
        last_byte_ = now;
        last_step_ = now;
        since_step_ = 0;
    }
    /// Records that `bytes` more have moved. Precondition: `start` was called.
    void add(std::size_t bytes, instant now)
    {
        if (bytes == 0)
            return;
        last_byte_ = now;
        since_step_ += bytes;
        if (since_step_ < step_bytes)
            return;
        since_step_ = 0;
        last_step_ = now;
    }
    /// When any byte last moved, or the transfer started. No preconditions.
    instant last_byte() const { return last_byte_; }
    /// When a whole step was last completed, or the transfer started. No preconditions.
    instant last_step() const { return last_step_; }

private:
    instant last_byte_;
    instant last_step_;
    std::size_t since_step_ = 0;
};

} // namespace guavashed
