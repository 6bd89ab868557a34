// The vote of the seeds on the founding snapshot of the control group.
#include "fleet/founding_vote.hpp"

#include "base/invariant.hpp"

#include <algorithm>

namespace guavashed
{

founding_vote::founding_vote(host_name self, std::vector<host_name> seeds, founding_state restored)
    : self_(std::move(self)), seeds_(std::move(seeds))
{
    GUAVASHED_INVARIANT(std::find(seeds_.begin(), seeds_.end(), self_) != seeds_.end())
        << self_ << " votes on the founding of the group but is no seed";
    states_[self_] = std::move(restored);
}

void founding_vote::propose(std::string snapshot)
{
    std::uint64_t round = 0;
    for (auto const& [seed, state] : states_)
        round = std::max(round, state.promised.round);
    states_[self_].promised = {round + 1, self_};
    proposal_ = std::move(snapshot);
    accept_own();
}

bool founding_vote::observe(host_name const& seed, founding_state const& state)
{
    if (seed == self_ || std::find(seeds_.begin(), seeds_.end(), seed) == seeds_.end())
        return false;
    founding_state& known = states_[seed];
    // Both only increase; messages of an earlier session may arrive late.
    if (state.promised < known.promised || state.accepted < known.accepted)
        return false;
    known = state;
    founding_state& own = states_[self_];
    founding_state const before = own;
    if (state.accepted > own.accepted && state.accepted >= own.promised)
    {
        own.accepted = state.accepted;
        own.snapshot = state.snapshot;
    }
    own.promised = std::max(own.promised, state.promised);
    accept_own();
    return !(own == before);
}

void founding_vote::accept_own()
{
    founding_state& own = states_[self_];
    if (proposal_.empty() || own.promised.proposer != self_ || own.accepted >= own.promised)
        return;
    std::size_t promised = 0;
    founding_state const* last = nullptr;
    for (auto const& [seed, state] : states_)
    {
        if (state.promised != own.promised)
            continue;
        ++promised;
        if (last == nullptr || state.accepted > last->accepted)
            last = &state;
    }
    if (promised < majority())
        return;
    // An earlier attempt may have been accepted by a majority; this one must not choose another.
    own.snapshot = last->snapshot.empty() ? proposal_ : last->snapshot;
    own.accepted = own.promised;
}

std::optional<std::string> founding_vote::chosen() const
{
    for (auto const& item : states_)
    {
        founding_state const& state = item.second;
        auto const accepted = std::count_if(states_.begin(), states_.end(),
                                            [&state](auto const& other)
                                            { return other.second.accepted == state.accepted; });
        if (!state.snapshot.empty() && static_cast<std::size_t>(accepted) >= majority())
            return state.snapshot;
    }
    return std::nullopt;
}

} // namespace guavashed
