/// \file
/// Defines replica_driver, which carries a replica's batches to its disk, its peers and its state.
#pragma once

#include "control/raft.hpp"
#include "control/storage_duty.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace guavashed
{

/// What the owner of a replica does with what the replica gives out.
struct replica_owner
{
    /// The state becomes that of the snapshot.
    std::function<void(raft_snapshot const&)> install;
    /// A committed command; each once, in order.
    std::function<void(raft_entry const&)> apply;
    std::function<void(raft_message const&)> send;
    /// After a batch that installed or applied something.
    std::function<void()> applied;
    /// The role or the known leader may have changed.
    std::function<void()> look_at_role;
    /// Nothing more is acknowledged from here on.
    std::function<void(error const&)> failed;
    /// The state's bytes, for a snapshot.
    std::function<std::string()> save;
    std::function<bool(storage_job)> submit;
};

/// Thread safety: none; the control duty owns it.
class replica_driver
{
public:
    /// Precondition: the owner's functions are set, and outlive this.
    replica_driver(raft_settings settings, raft_restored restored, replica_owner owner);

    raft& core() { return raft_; }
    /// Takes batches until one waits for the disk or none is left.
    void drive();
    /// A job of this driver, `persist_log` or `compact_log`, is done.
    void on_storage(storage_done&& done);
    /// Replaces the log by a snapshot when enough has been applied since the last one.
    void compact_when_due();

    log_index applied() const { return applied_; }
    raft_membership const& applied_membership() const { return applied_membership_; }
    bool has_failed() const { return failed_; }

private:
    void release(raft_batch batch);
    void install(raft_snapshot const& snapshot);
    void apply(raft_entry const& entry);

    replica_owner owner_;
    log_index applied_;
    log_term applied_term_;
    raft_membership applied_membership_;
    log_index compacted_;
    raft raft_;
    std::optional<raft_batch> in_storage_;
    bool compacting_ = false;
    bool failed_ = false;
};

} // namespace guavashed
