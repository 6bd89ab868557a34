/// \file
/// Defines claim_round, an entry host's count of the recorders' votes on one key.
#pragma once

#include "base/ids.hpp"
#include "control/claim_book.hpp"

#include <optional>
#include <vector>

namespace guavashed
{

enum class claim_verdict : std::uint8_t
{
    /// A majority recorded this attempt, synced: it alone may run the key.
    granted,
    /// The key ran before; its answer is known.
    settled,
    /// Another attempt holds the key, and it may or may not have run.
    unknown,
    /// The ticket's time is over: refused.
    expired,
    /// No majority answered in time: nothing is known of earlier attempts.
    unreachable
};

/// Thread safety: none. Each recorder votes once; the first verdict stands.
class claim_round
{
public:
    explicit claim_round(std::size_t recorders) : recorders_(recorders) {}

    /// Counts a vote; the verdict once there is one. A second vote of a recorder is ignored.
    std::optional<claim_verdict> vote(host_name const& recorder, claim_reply const& reply);
    /// A recorder cannot be reached.
    std::optional<claim_verdict> mark_unreachable(host_name const& recorder);
    /// Time is up: the verdict from the votes so far.
    claim_verdict close() const;
    /// The answer that came with a settled vote. Precondition: the verdict was `settled`.
    recorded_answer const& answer() const { return answer_; }

private:
    std::optional<claim_verdict> decide() const;
    bool count_once(host_name const& recorder);

    std::size_t recorders_;
    std::size_t granted_ = 0;
    std::size_t held_elsewhere_ = 0;
    std::size_t expired_ = 0;
    std::size_t settled_ = 0;
    std::vector<host_name> counted_;
    recorded_answer answer_;
};

} // namespace guavashed
