// Defines claim_round: the count of votes and the rules by which they decide.
#include "entry/claim_round.hpp"

#include <algorithm>

namespace guavashed
{

bool claim_round::count_once(host_name const& recorder)
{
    if (std::find(counted_.begin(), counted_.end(), recorder) != counted_.end())
        return false;
    counted_.push_back(recorder);
    return true;
}

std::optional<claim_verdict> claim_round::vote(host_name const& recorder, claim_reply const& reply)
{
    if (!count_once(recorder))
        return decide();
    switch (reply.vote)
    {
    case claim_vote::granted:
        ++granted_;
        break;
    case claim_vote::held_elsewhere:
        ++held_elsewhere_;
        break;
    case claim_vote::settled:
        ++settled_;
        answer_ = reply.answer;
        break;
    case claim_vote::expired:
        ++expired_;
        break;
    case claim_vote::abstained:
        break;
    }
    return decide();
}

std::optional<claim_verdict> claim_round::mark_unreachable(host_name const& recorder)
{
    count_once(recorder);
    return decide();
}

std::optional<claim_verdict> claim_round::decide() const
{
    std::size_t const quorum = recorders_ / 2 + 1;
    if (settled_ > 0)
        return claim_verdict::settled;
    if (granted_ >= quorum)
        return claim_verdict::granted;
    if (counted_.size() < recorders_)
        return std::nullopt;
    return close();
}

claim_verdict claim_round::close() const
{
    if (settled_ > 0)
        return claim_verdict::settled;
    if (held_elsewhere_ > 0)
        return claim_verdict::unknown;
    if (expired_ > 0)
        return claim_verdict::expired;
    return claim_verdict::unreachable;
}

} // namespace guavashed
