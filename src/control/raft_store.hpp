/// \file
/// Defines raft_store, a replica's log, vote and snapshot in its data folder.
#pragma once

#include "control/raft.hpp"
#include "control/record_file.hpp"

#include <memory>

namespace guavashed
{

/// Thread safety: none; the storage duty owns it after `open`.
class raft_store
{
public:
    /// Opens the folder, creating what is missing. `fresh` tells that the disk held nothing: its
    /// `disk` id is then new, and this replica has no vote until the group takes it in.
    struct opened
    {
        std::unique_ptr<raft_store> store;
        raft_restored restored;
        disk_id disk;
        wall_instant born;
        bool fresh = false;
        std::uint64_t torn_bytes = 0;
    };
    static result<opened> open(std::string const& folder);

    /// Writes a batch's install, truncation, entries and vote, and syncs. After an error the
    /// replica must stop acknowledging.
    result<void> persist(raft_batch const& batch);
    /// Writes a snapshot and starts a new log behind it. `kept` are the entries after its index.
    result<void> compact(raft_snapshot const& snapshot, std::vector<raft_entry> const& kept);

    std::uint64_t log_bytes() const { return log_.size(); }

private:
    result<void> rewrite_log(std::vector<raft_entry> const& entries);

    std::string folder_;
    record_file log_;
};

} // namespace guavashed
