/// \file
/// Defines storage_worker, the thread that writes and syncs the files of a replica and its claims.
#pragma once

#include "base/event_loop.hpp"
#include "control/claim_book.hpp"
#include "control/raft_store.hpp"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace guavashed
{

/// Writes and syncs a batch of the replicated log.
struct persist_log
{
    raft_batch batch;
};

/// Writes a snapshot and drops the log up to its index.
struct compact_log
{
    raft_snapshot snapshot;
    std::vector<raft_entry> kept;
};

/// Appends claims to the claims file, with one sync for all.
struct persist_claims
{
    std::vector<claim_request> claims;
    /// Replaces the file by one with exactly these records instead of appending.
    bool rewrite = false;
};

using storage_job = std::variant<persist_log, compact_log, persist_claims>;

/// A finished job with its contents, and its error if it failed.
struct storage_done
{
    storage_job job;
    std::optional<error> failure;
};

/// Thread safety: call `submit` only on the event loop of `client`, on which `done` runs as well.
class storage_worker
{
public:
    using on_done = std::function<void(storage_done&&)>;

    /// Starts the thread. Preconditions: `client` outlives this; `store` and `claims` are not used
    /// elsewhere.
    storage_worker(event_loop& client, std::unique_ptr<raft_store> store, record_file claims,
                   std::string claims_path, on_done done);
    storage_worker(storage_worker const&) = delete;
    storage_worker& operator=(storage_worker const&) = delete;
    ~storage_worker();

    /// Queues a job; false when the queue is full.
    bool submit(storage_job job);
    /// Stops and joins the thread; jobs still queued are not run.
    void stop();

private:
    std::optional<error> run(storage_job const& job);
    result<void> write_claims(persist_claims const& job);

    std::unique_ptr<raft_store> store_;
    record_file claims_;
    std::string claims_path_;
    ring<storage_done> done_;
    event_loop thread_;
    ring<storage_job> jobs_;
};

} // namespace guavashed
