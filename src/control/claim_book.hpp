/// \file
/// Defines claim_book, one recorder's part in "runs at most once".
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"

#include <cereal/types/string.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace guavashed
{

/// The answer of work that ran, kept so that a resend gets it again.
struct recorded_answer
{
    std::uint32_t status = 0;
    std::string body;
    /// False when the answer was too large to keep: that it ran is known, what it said is not.
    bool whole = true;

    bool operator==(recorded_answer const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(status, body, whole);
    }
};

enum class claim_step : std::uint8_t
{
    /// An entry host asks to be the only one to run the key.
    claim = 0,
    /// The claimant did not run it and never will under this attempt.
    abandon = 1,
    /// The claimant ran it: this is its answer.
    settle = 2
};

/// One change of a claim book; also the record on disk.
struct claim_request
{
    static constexpr std::uint16_t wire_version = 1;

    claim_step step = claim_step::claim;
    idempotency_key key;
    attempt_id attempt;
    std::int64_t issued_ms = 0;
    std::int64_t expires_ms = 0;
    recorded_answer answer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(step, key, attempt, issued_ms, expires_ms, answer);
    }
};

enum class claim_vote : std::uint8_t
{
    granted = 0,
    /// Another attempt holds the key; whether it ran is not known here.
    held_elsewhere = 1,
    /// It ran, and this is the answer.
    settled = 2,
    expired = 3,
    /// This recorder's disk is younger than the key's ticket: it may have lost an earlier claim.
    abstained = 4
};

struct claim_reply
{
    static constexpr std::uint16_t wire_version = 1;

    claim_step step = claim_step::claim;
    idempotency_key key;
    attempt_id attempt;
    claim_vote vote = claim_vote::abstained;
    recorded_answer answer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(step, key, attempt, vote, answer);
    }
};

/// Thread safety: none; the recorder's duty owns it. Its replies may leave only after the request
/// has been synced to disk.
class claim_book
{
public:
    /// `born` is when this book's disk was first used. Keys whose tickets are older are abstained
    /// from, since a claim on them may have been lost with an earlier disk.
    explicit claim_book(wall_instant born) : born_(born) {}

    /// Applies one request. The same request applied again gives the same reply.
    claim_reply apply(wall_instant now, claim_request const& request);
    /// Applies a record read back from disk.
    void restore(claim_request const& request);
    /// Forgets records past their deadline; returns how many went.
    std::size_t expire(wall_instant now);

    std::size_t size() const { return records_.size(); }
    wall_instant born() const { return born_; }

    /// Calls `visit(claim_request)` for each record as the requests that rebuild it.
    template <class Visit>
    void for_each(Visit visit) const
    {
        for (auto const& [key, record] : records_)
        {
            claim_request request{claim_step::claim, key, record.attempt, record.issued_ms,
                                  record.expires_ms, {}};
            visit(request);
            if (!record.answer)
                continue;
            request.step = claim_step::settle;
            request.answer = *record.answer;
            visit(request);
        }
    }

private:
    struct record
    {
        attempt_id attempt;
        std::int64_t issued_ms = 0;
        std::int64_t expires_ms = 0;
        std::optional<recorded_answer> answer;
    };

    claim_vote claim(claim_request const& request);

    wall_instant born_;
    std::unordered_map<idempotency_key, record> records_;
    std::multimap<std::int64_t, idempotency_key> by_expiry_;
};

} // namespace guavashed
