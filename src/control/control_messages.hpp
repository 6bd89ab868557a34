/// \file
/// Defines the messages by which control hosts discover each other, form a group and share
/// presence.
#pragma once

#include "control/fleet_messages.hpp"
#include "control/raft_messages.hpp"

namespace guavashed
{

/// Describes the sending control host; sent to all others a few times a second.
struct join_message
{
    static constexpr std::uint16_t wire_version = 1;

    host_name host;
    disk_id disk;
    endpoint_text peer_endpoint;
    endpoint_text operator_endpoint;
    /// True while the sender's log is empty: it must take part in founding the group or be added to
    /// it.
    bool blank = true;
    /// The first members of the group; empty until the group is founded.
    raft_membership founding;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, disk, peer_endpoint, operator_endpoint, blank, founding);
    }
};

/// Presence rows of the entry hosts that are connected to the sender.
struct peer_presence
{
    static constexpr std::uint16_t wire_version = 1;

    std::vector<host_row> rows;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(rows);
    }
};

} // namespace guavashed
