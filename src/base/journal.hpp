/// \file
/// Defines journal, a bounded record of decisions that `guavashed explain` reads.
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"

#include <string>
#include <vector>

namespace guavashed
{

/// One decision: about what, what was decided and why, under which configuration.
struct journal_note
{
    wall_instant at;
    std::string subject;
    std::string decision;
    std::string inputs;
    config_version version;
};

/// Keeps the newest notes. Thread safety: none; one duty owns it.
class journal
{
public:
    explicit journal(std::size_t capacity = 4096) : capacity_(capacity) {}

    void add(journal_note note)
    {
        if (notes_.size() < capacity_)
        {
            notes_.push_back(std::move(note));
            return;
        }
        notes_[next_] = std::move(note);
        next_ = (next_ + 1) % capacity_;
    }

    /// Notes on the subject, oldest first; an empty subject means all.
    std::vector<journal_note> find(std::string const& subject) const
    {
        std::vector<journal_note> out;
        for (std::size_t i = 0; i < notes_.size(); ++i)
        {
            journal_note const& note = notes_[(next_ + i) % notes_.size()];
            if (subject.empty() || note.subject == subject)
                out.push_back(note);
        }
        return out;
    }

private:
    std::size_t capacity_;
    std::size_t next_ = 0;
    std::vector<journal_note> notes_;
};

} // namespace guavashed
