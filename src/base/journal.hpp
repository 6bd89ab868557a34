/// \file
/// Defines journal, a bounded in-memory log of decisions for `guavashed explain`.
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"

#include <string>
#include <vector>

namespace guavashed
{

/// One decision: its subject, the outcome, the inputs it was based on and the configuration
/// version.
struct journal_record
{
    wall_instant at;
    std::string subject;
    std::string decision;
    std::string inputs;
    config_version version;
};

/// A circular buffer that overwrites its oldest record when full. Thread safety: none; one event
/// loop owns it.
class journal
{
public:
    explicit journal(std::size_t capacity = 4096) : capacity_(capacity) {}

    void add(journal_record record)
    {
        if (records_.size() < capacity_)
        {
            records_.push_back(std::move(record));
            return;
        }
        records_[next_] = std::move(record);
        next_ = (next_ + 1) % capacity_;
    }

    /// Records for `subject`, oldest first; all records when `subject` is empty.
    std::vector<journal_record> find(std::string const& subject) const
    {
        std::vector<journal_record> out;
        for (std::size_t i = 0; i < records_.size(); ++i)
        {
            journal_record const& record = records_[(next_ + i) % records_.size()];
            if (subject.empty() || record.subject == subject)
                out.push_back(record);
        }
        return out;
    }

private:
    std::size_t capacity_;
    std::size_t next_ = 0;
    std::vector<journal_record> records_;
};

} // namespace guavashed
