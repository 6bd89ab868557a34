/// \file
/// Defines the messages by which an entry host leases the use of keys and request credit from the
/// leader of the control hosts.
#pragma once

#include "base/ids.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

namespace guavashed
{

/// One workspace's use of one entry host.
struct workspace_use
{
    workspace_name workspace;
    /// Requests admitted since the process started, less those refunded. Cumulative, so that a
    /// report that is lost or repeated changes nothing.
    std::int64_t admitted_total = 0;
    /// Credit that the entry host asks for, in requests.
    std::uint32_t wanted = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(workspace, admitted_total, wanted);
    }
};

/// Sent by an entry host to the leader, or to any control host, which forwards it.
struct lease_request
{
    static constexpr std::uint16_t wire_version = 1;

    host_name host;
    /// Distinguishes processes of one host: totals of a later one start anew.
    incarnation life;
    /// Increases with each request of one process; the grant repeats it.
    std::uint64_t number = 0;
    std::vector<workspace_use> uses;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, life, number, uses);
    }
};

/// Credit of one workspace that the entry host may spend.
struct credit_line
{
    workspace_name workspace;
    /// Requests that it may admit beyond `admitted_total` of the request that is answered.
    std::uint32_t credit = 0;
    /// Expected time until more credit is available, in milliseconds; 0 when there is no shortage.
    std::uint32_t wait_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(workspace, credit, wait_ms);
    }
};

/// The leader's answer to a lease_request.
struct lease_grant
{
    static constexpr std::uint16_t wire_version = 1;

    host_name host;
    incarnation life;
    std::uint64_t number = 0;
    /// Peer endpoint of the leader, to which the next request goes directly.
    endpoint_text leader;
    /// Log index of the last change of access that had been acknowledged when the leader read the
    /// request. Keys may be used for the duration of the lease by hosts whose view includes it.
    std::uint64_t access_index = 0;
    std::vector<credit_line> lines;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, life, number, leader, access_index, lines);
    }
};

} // namespace guavashed
