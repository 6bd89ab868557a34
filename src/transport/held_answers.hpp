/// \file
/// Defines held_answers, the answers that one connection holds until its caller has taken them.
#pragma once

#include "transport/transfer_progress.hpp"

#include <atomic>
#include <cstdint>

namespace guavashed
{

/// Counts the bytes that a connection holds, as part of a total of its host, and the progress of
/// its caller in taking them. Thread safety: none, but for the total.
class held_answers
{
public:
    /// Precondition: `total` outlives this.
    explicit held_answers(std::atomic<std::uint64_t>& total) : total_(total) {}
    held_answers(held_answers const&) = delete;
    held_answers& operator=(held_answers const&) = delete;
    ~held_answers() { release(bytes_); }

    /// Adds an answer. Progress starts with the first one that is held.
    void add(std::size_t bytes, instant now)
    {
        if (bytes_ == 0)
            progress_.start(now);
        bytes_ += bytes;
        total_ += bytes;
    }
    /// Removes an answer that is written completely, or dropped. Precondition: at most `bytes()`.
    void release(std::size_t bytes)
    {
        bytes_ -= bytes;
        total_ -= bytes;
    }
    /// Records that the caller has taken a part of an answer, which stays held as a whole.
    void note_taken(std::size_t bytes, instant now) { progress_.add(bytes, now); }

    std::size_t bytes() const { return bytes_; }
    transfer_progress const& progress() const { return progress_; }

private:
    std::atomic<std::uint64_t>& total_;
    std::size_t bytes_ = 0;
    transfer_progress progress_;
};

} // namespace guavashed
