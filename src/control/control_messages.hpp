/// \file
/// Defines the messages by which control hosts find and take in each other.
#pragma once

#include "control/fleet_messages.hpp"
#include "control/raft_messages.hpp"

namespace guavashed
{

/// A control host's word on itself, sent to the others a few times a second.
struct join_message
{
    static constexpr std::uint16_t wire_version = 1;

    host_name host;
    disk_id disk;
    endpoint_text peer_endpoint;
    endpoint_text operator_endpoint;
    /// True while its disk holds nothing: it must be founded with the others or taken in.
    bool blank = true;
    /// The first members, once the group is founded.
    raft_membership founding;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, disk, peer_endpoint, operator_endpoint, blank, founding);
    }
};

/// Rows of the entry hosts that have their session with the sender.
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
