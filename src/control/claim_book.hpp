/// \file
/// Defines claim_book, the claims on idempotency keys that one recorder knows. A key is
/// run only after a majority of its recorders has granted the claim, and so at most once.
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

/// The response to an executed request, kept so that a resend gets the same one.
struct recorded_answer
{
    std::uint32_t status = 0;
    std::string body;
    /// False when the body was too large to keep: the request ran, but its response is not known.
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
    /// An entry host requests the exclusive right to run the key.
    claim = 0,
    /// The claimant did not run the key and will not under this attempt.
    abandon = 1,
    /// The claimant ran the key; the request carries the response.
    settle = 2
};

/// One change to a claim book; also the format of a record on disk.
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
    /// Another attempt holds the key; this recorder does not know whether it ran.
    held_elsewhere = 1,
    /// The key ran; the reply carries the response.
    settled = 2,
    expired = 3,
    /// This recorder's disk was first used after the key's ticket was issued, or too shortly
    /// before: an earlier claim may have been lost with the previous disk.
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

/// Thread safety: none; used only on the event loop of its recorder. A reply may be sent only after
/// the request has been synced to disk.
class claim_book
{
public:
    /// `born` is the time at which this book's disk was first used. The book abstains on keys with
    /// older tickets, since a claim on them may have been lost with an earlier disk.
    explicit claim_book(wall_instant born) : born_(born) {}

    /// Applies a request and returns the reply. Idempotent: a repeated request gets the same reply.
    claim_reply apply(wall_instant now, claim_request const& request);
    /// Applies a record read back from disk.
    void restore(claim_request const& request);
    /// Removes expired records and returns their number.
    std::size_t expire(wall_instant now);

    std::size_t size() const { return records_.size(); }
    wall_instant born() const { return born_; }

    /// Calls `visit(claim_request)` with the requests that rebuild the book through `restore`.
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
