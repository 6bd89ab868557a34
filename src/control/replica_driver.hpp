/// \file
/// Defines replica_driver, which persists a replica's batches, then sends their messages and
/// applies their committed entries.
#pragma once

#include "control/raft.hpp"
#include "control/storage_worker.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace guavashed
{

/// Callbacks into the owner of a replica.
struct replica_owner
{
    /// Replaces the state by the snapshot's.
    std::function<void(raft_snapshot const&)> install;
    /// Applies a committed command; called once for each, in log order.
    std::function<void(raft_entry const&)> apply;
    std::function<void(raft_message const&)> send;
    /// Called after a batch that installed a snapshot or applied entries.
    std::function<void()> applied;
    /// Called when the role or the known leader may have changed.
    std::function<void()> on_role_update;
    /// Called on a storage failure, after which the replica acknowledges nothing more.
    std::function<void(error const&)> failed;
    /// Serializes the state for a snapshot.
    std::function<std::string()> save;
    /// Queues a job for the storage thread; false when its queue is full.
    std::function<bool(storage_job)> submit;
};

/// Thread safety: none; used only on the event loop of its owner.
class replica_driver
{
public:
    /// Precondition: all callbacks are set and stay valid for the lifetime of this object.
    replica_driver(raft_settings settings, raft_restored restored, replica_owner owner);

    raft& core() { return raft_; }
    /// Processes batches until one waits for the disk or none is left.
    void drive();
    /// Handles the end of a job that this driver submitted, `persist_log` or `compact_log`.
    void on_storage(storage_done&& done);
    log_index applied() const { return applied_; }
    raft_membership const& applied_membership() const { return applied_membership_; }
    bool has_failed() const { return failed_; }

private:
    void complete(raft_batch batch);
    /// Takes a snapshot and compacts the log once enough entries, or bytes of them, were applied
    /// since the last one.
    void compact_when_due();
    void install(raft_snapshot const& snapshot);
    void apply(raft_entry const& entry);

    replica_owner owner_;
    log_index applied_;
    log_term applied_term_;
    raft_membership applied_membership_;
    log_index snapshot_index_;
    /// Bytes of the entries applied since the last snapshot.
    std::uint64_t bytes_since_snapshot_ = 0;
    raft raft_;
    std::optional<raft_batch> persisting_;
    bool compacting_ = false;
    bool failed_ = false;
};

} // namespace guavashed
