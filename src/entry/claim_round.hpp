/// \file
/// Defines claim_round, by which an entry host counts the recorders' votes on one claim of an
/// idempotency key.
#pragma once

#include "base/ids.hpp"
#include "control/claim_book.hpp"

#include <optional>
#include <vector>

namespace guavashed
{

/// Outcome of a claim round.
enum class claim_verdict : std::uint8_t
{
    /// A majority has recorded this attempt and synced it to disk: only this attempt may run the
    /// key.
    granted,
    /// The key has run before, and its recorded answer is available.
    settled,
    /// Another attempt holds the key and may have run it.
    unknown,
    /// The key's ticket has expired: the request is refused.
    expired,
    /// No majority answered in time, and no vote shows an earlier attempt.
    unreachable
};

/// Votes on one claim. Each recorder is counted once; the first verdict is final.
/// Thread safety: none.
class claim_round
{
public:
    /// `recorders` is the number of recorders asked; a majority of them is the quorum.
    explicit claim_round(std::size_t recorders) : recorders_(recorders) {}

    /// Counts a vote; returns the verdict once there is one. Later votes of a recorder are ignored.
    std::optional<claim_verdict> vote(host_name const& recorder, claim_reply const& reply);
    /// Counts a recorder that the claim could not be sent to, as one without a vote. Returns the
    /// verdict once there is one.
    std::optional<claim_verdict> mark_unreachable(host_name const& recorder);
    /// The verdict from the votes so far, for use at the deadline. Assumes that no majority has
    /// granted the claim.
    claim_verdict close() const;
    /// The recorded answer of the `settled` vote. Precondition: the verdict was `settled`.
    recorded_answer const& answer() const { return answer_; }

private:
    std::optional<claim_verdict> decide() const;
    /// False when the recorder is already counted.
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
