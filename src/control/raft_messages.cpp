// Look-ups in a membership and its quorum.
#include "control/raft_messages.hpp"

#include <algorithm>

namespace guavashed
{

raft_member const* raft_membership::find(host_name const& host) const
{
    auto const at = std::find_if(members.begin(), members.end(),
                                 [&](raft_member const& item) { return item.host == host; });
    return at == members.end() ? nullptr : &*at;
}

std::size_t raft_membership::voters() const
{
    return static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [](raft_member const& item) { return item.voter; }));
}

std::size_t raft_membership::quorum() const
{
    return voters() / 2 + 1;
}

} // namespace guavashed
