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
struct journal_record
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

    /// Notes on the subject, oldest first; an empty subject means all.
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
