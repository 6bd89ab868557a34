/// \file
/// Defines raft_store, which keeps a replica's log, vote and snapshot in its data folder.
#pragma once

#include "control/raft.hpp"
#include "control/record_file.hpp"

#include <memory>

namespace guavashed
{

/// Thread safety: none; used only on the storage thread after `open`.
class raft_store
{
public:
    /// Result of `open`. `fresh` is true when the folder held no identity: `disk` is then a new id,
    /// and this replica has no vote until the group adds it as a member. `born` is the creation
    /// time of the identity, `torn_bytes` the length of an incomplete write that was cut off the
    /// log.
    struct opened
    {
        std::unique_ptr<raft_store> store;
        raft_restored restored;
        disk_id disk;
        wall_instant born;
        bool fresh = false;
        std::uint64_t torn_bytes = 0;
    };
    /// Opens the folder, creates what is missing and replays the log. Errors: `io_failure`;
    /// `corrupt_file` when a record is damaged or an entry missing; `invalid_frame` for contents
    /// that do not decode.
    static result<opened> open(std::string const& folder);

    /// Writes a batch's snapshot, truncation, entries and vote, and syncs. After an error the
    /// replica must acknowledge nothing more.
    result<void> persist(raft_batch const& batch);
    /// Writes a snapshot, then replaces the log by one that holds only `kept`, the entries after
    /// the snapshot's index, and the last vote.
    result<void> compact(raft_snapshot const& snapshot, std::vector<raft_entry> const& kept);

    std::uint64_t log_bytes() const { return log_.size(); }

private:
    result<void> rewrite_log(std::vector<raft_entry> const& entries);

    std::string folder_;
    record_file log_;
    /// The last vote in the log.
    raft_vote vote_;
};

} // namespace guavashed
