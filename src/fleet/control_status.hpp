/// \file
/// Defines control_status, what a control host tells entry hosts of itself and of the others.
#pragma once

#include "base/ids.hpp"

#include <cereal/types/vector.hpp>
#include <vector>

namespace guavashed
{

/// Sent after an entry host's first report, and at each change, also by control hosts outside of
/// the group, which know no view of the fleet.
struct control_status
{
    static constexpr std::uint16_t wire_version = 1;

    /// It follows a leader, so that it delivers views.
    bool has_leader = false;
    /// Peer endpoints of the members of its group; empty without a leader, as they may be outdated.
    std::vector<endpoint_text> members;
    /// Other control hosts that it has heard lately.
    std::vector<endpoint_text> others;

    bool operator==(control_status const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(has_leader, members, others);
    }
};

} // namespace guavashed
