// Runs the batches of a replica in their order: disk, messages, state.
#include "control/replica_driver.hpp"

#include "base/codec.hpp"
#include "base/invariant.hpp"
#include "base/log.hpp"

namespace guavashed
{
namespace
{

/// Bound the log that a restart has to replay, and that a replica holds in memory: some entries
/// carry a whole configuration.
constexpr std::uint64_t entries_between_snapshots = 500;
constexpr std::uint64_t bytes_between_snapshots = 8 * 1024 * 1024;

} // namespace

replica_driver::replica_driver(raft_settings settings, raft_restored restored, replica_owner owner)
    : owner_(std::move(owner)), applied_(restored.snapshot.index),
      applied_term_(restored.snapshot.term), applied_membership_(restored.snapshot.membership),
      snapshot_index_(applied_),
      raft_(std::move(settings), std::move(restored), instant::clock::now())
{
}

void replica_driver::drive()
{
    owner_.on_role_update();
    for (;;)
    {
        compact_when_due();
        if (persisting_ || compacting_ || failed_)
            return;
        raft_batch batch = raft_.take_batch();
        if (batch.empty())
            return;
        if (!batch.needs_sync())
        {
            complete(std::move(batch));
            continue;
        }
        persisting_ = batch;
        bool const queued = owner_.submit(persist_log{std::move(batch)});
        GUAVASHED_INVARIANT(queued) << "the storage queue refused a log batch although the driver "
                                       "has at most one job in it";
    }
}

void replica_driver::on_storage(storage_done&& done)
{
    if (done.failure)
    {
        // Data that was not synced must never be acknowledged: this replica sends nothing more.
        failed_ = true;
        log_change(log_level::error, "storage_failed", to_string(*done.failure));
        return owner_.failed(*done.failure);
    }
    if (std::holds_alternative<compact_log>(done.job))
        compacting_ = false;
    else
    {
        raft_batch batch = std::move(*persisting_);
        persisting_.reset();
        complete(std::move(batch));
    }
    drive();
}

void replica_driver::complete(raft_batch batch)
{
    raft_.on_persisted(instant::clock::now());
    if (batch.install)
        install(*batch.install);
    for (auto const& message : batch.messages)
        owner_.send(message);
    for (auto const& entry : batch.committed)
        apply(entry);
    if (batch.install || !batch.committed.empty())
        owner_.applied();
}

void replica_driver::install(raft_snapshot const& snapshot)
{
    applied_ = snapshot.index;
    applied_term_ = snapshot.term;
    applied_membership_ = snapshot.membership;
    snapshot_index_ = applied_;
    bytes_since_snapshot_ = 0;
    owner_.install(snapshot);
}

void replica_driver::apply(raft_entry const& entry)
{
    GUAVASHED_INVARIANT(entry.index.value() == applied_.value() + 1)
        << "entry " << entry.index << " would be applied right after entry " << applied_;
    applied_ = entry.index;
    applied_term_ = entry.term;
    bytes_since_snapshot_ += entry.payload.size();
    if (entry.kind == entry_kind::membership)
    {
        auto decoded = decode<raft_membership>(entry.payload, "log");
        GUAVASHED_INVARIANT(decoded.has_value()) << to_string(decoded.error());
        applied_membership_ = std::move(decoded).value();
    }
    if (entry.kind == entry_kind::command)
        owner_.apply(entry);
}

void replica_driver::compact_when_due()
{
    bool const is_due = applied_.value() >= snapshot_index_.value() + entries_between_snapshots ||
                        bytes_since_snapshot_ >= bytes_between_snapshots;
    if (!is_due || persisting_ || compacting_ || failed_)
        return;
    raft_snapshot snapshot{applied_, applied_term_, applied_membership_, owner_.save()};
    compacting_ = owner_.submit(compact_log{snapshot, raft_.persisted_after(applied_)});
    if (!compacting_)
        return;
    raft_.on_snapshot(std::move(snapshot));
    snapshot_index_ = applied_;
    bytes_since_snapshot_ = 0;
}

} // namespace guavashed
