// How a recorder votes on claims, and how claims are settled, abandoned and expired.
#include "control/claim_book.hpp"

namespace guavashed
{
namespace
{

/// Bound on the clock skew between hosts. A ticket issued within this time after the book's disk
/// was first used may in fact be older than the disk.
constexpr milliseconds clock_skew_margin{2000};

} // namespace

claim_reply claim_book::apply(wall_instant now, claim_request const& request)
{
    claim_reply reply{request.step, request.key, request.attempt, claim_vote::granted, {}};
    if (request.step != claim_step::claim)
    {
        restore(request);
        return reply;
    }
    if (request.expires_ms <= wall_ms(now))
        reply.vote = claim_vote::expired;
    else if (request.issued_ms < wall_ms(born_ + clock_skew_margin))
        reply.vote = claim_vote::abstained;
    else
        reply.vote = claim(request);
    if (reply.vote == claim_vote::settled)
        reply.answer = *records_.at(request.key).answer;
    return reply;
}

claim_vote claim_book::claim(claim_request const& request)
{
    auto const [at, added] = records_.try_emplace(request.key);
    record& held = at->second;
    if (added)
    {
        held = {request.attempt, request.issued_ms, request.expires_ms, {}};
        by_expiry_.emplace(request.expires_ms, request.key);
        return claim_vote::granted;
    }
    if (held.answer)
        return claim_vote::settled;
    return held.attempt == request.attempt ? claim_vote::granted : claim_vote::held_elsewhere;
}

void claim_book::restore(claim_request const& request)
{
    if (request.step == claim_step::claim)
    {
        claim(request);
        return;
    }
    auto const at = records_.find(request.key);
    bool const holds = at != records_.end() && at->second.attempt == request.attempt;
    if (request.step == claim_step::settle)
    {
        if (!holds && at != records_.end() && at->second.answer)
            return;
        // The claimant had a majority of grants, which need not include this recorder.
        auto const [held, added] = records_.try_emplace(request.key);
        if (added)
            by_expiry_.emplace(request.expires_ms, request.key);
        held->second = {request.attempt, request.issued_ms, request.expires_ms, request.answer};
        return;
    }
    if (holds && !at->second.answer)
        records_.erase(at);
}

std::size_t claim_book::expire(wall_instant now)
{
    std::size_t removed = 0;
    while (!by_expiry_.empty() && by_expiry_.begin()->first <= wall_ms(now))
    {
        removed += records_.erase(by_expiry_.begin()->second);
        by_expiry_.erase(by_expiry_.begin());
    }
    return removed;
}

} // namespace guavashed
