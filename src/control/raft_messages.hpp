/// \file
/// Defines the entries, members and messages of the replicated log.
#pragma once

#include "base/ids.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <vector>

namespace guavashed
{

using log_term = strong_type<struct log_term_tag, std::uint64_t>;
using log_index = strong_type<struct log_index_tag, std::uint64_t>;

/// Neighbouring indices. Thread safe. The first entry has index 1; 0 stands for an empty log and
/// has no predecessor.
inline log_index after(log_index index)
{
    return log_index(index.value() + 1);
}
inline log_index before(log_index index)
{
    return log_index(index.value() - 1);
}

/// A replica: its host and the disk that holds its log. A host with a new disk is a new member,
/// since the entries and votes that the old disk acknowledged are lost.
struct raft_member
{
    host_name host;
    disk_id disk;
    /// A learner, which is not a voter, receives the log and becomes a voter once it has caught up.
    bool voter = true;

    bool operator==(raft_member const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, disk, voter);
    }
};

struct raft_membership
{
    static constexpr std::uint16_t wire_version = 1;

    std::vector<raft_member> members;

    /// Returns the member on that host, or null. Thread safe.
    raft_member const* find(host_name const& host) const;
    /// Number of voters that form a majority. Thread safe.
    std::size_t quorum() const;
    std::size_t voters() const;

    bool operator==(raft_membership const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(members);
    }
};

enum class entry_kind : std::uint8_t
{
    /// First entry of a leader's term: committing it commits the entries of earlier terms.
    leader_start = 0,
    command = 1,
    membership = 2
};

struct raft_entry
{
    static constexpr std::uint16_t wire_version = 1;

    log_term term;
    log_index index;
    entry_kind kind = entry_kind::command;
    std::string payload;

    bool operator==(raft_entry const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, index, kind, payload);
    }
};

/// Current term and the vote given in it. Synced before any message that depends on them is sent.
struct raft_vote
{
    static constexpr std::uint16_t wire_version = 1;

    log_term term;
    host_name voted_for;

    bool operator==(raft_vote const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, voted_for);
    }
};

struct raft_snapshot
{
    static constexpr std::uint16_t wire_version = 1;

    log_index index;
    log_term term;
    raft_membership membership;
    std::string state;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(index, term, membership, state);
    }
};

enum class raft_message_kind : std::uint8_t
{
    pre_vote = 0,
    pre_vote_reply = 1,
    vote = 2,
    vote_reply = 3,
    append = 4,
    append_reply = 5,
    snapshot = 6,
    timeout_now = 7
};

/// One message between replicas. Fields that a kind does not use have their default values.
struct raft_message
{
    static constexpr std::uint16_t wire_version = 1;

    raft_message_kind kind = raft_message_kind::append;
    host_name from;
    disk_id from_disk;
    host_name to;
    disk_id to_disk;
    log_term term;
    /// Vote requests: the sender's last entry. Append: the entry before `entries`. Append reply:
    /// the last matching entry if granted, otherwise where to retry.
    log_index index;
    log_term index_term;
    log_index commit;
    /// Replies: whether the request was accepted. Vote requests: true in a leadership transfer,
    /// where voters disregard the old leader's lease.
    bool granted = false;
    /// Send time on the leader's clock; the reply echoes it, and the leader's lease counts from it.
    std::int64_t sent_ns = 0;
    /// Rest of the leader's lease at sending; followers that answer in its place do so until it
    /// ends.
    std::uint32_t lease_left_ms = 0;
    std::vector<raft_entry> entries;
    std::string snapshot;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, from, from_disk, to, to_disk, term, index, index_term, commit, granted,
                sent_ns, lease_left_ms, entries, snapshot);
    }
};

} // namespace guavashed
