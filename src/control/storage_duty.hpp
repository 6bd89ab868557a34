/// \file
/// Defines storage_duty, the only thread that writes and syncs files.
#pragma once

#include "base/duty.hpp"
#include "control/claim_book.hpp"
#include "control/raft_store.hpp"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace guavashed
{

/// Write a batch of the replicated log.
struct persist_log
{
    raft_batch batch;
};

/// Replace the log before a snapshot.
struct compact_log
{
    raft_snapshot snapshot;
    std::vector<raft_entry> kept;
};

/// Write claims; many share one sync.
struct persist_claims
{
    std::vector<claim_request> claims;
    /// Rewrite the file with these records first, when set.
    bool rewrite = false;
};

using storage_job = std::variant<persist_log, compact_log, persist_claims>;

/// A job that is done; the job comes back with its content.
struct storage_done
{
    storage_job job;
    std::optional<error> failure;
};

/// Thread safety: `submit` from the one duty given at construction, which also gets the results.
class storage_duty
{
public:
    using on_done = std::function<void(storage_done&&)>;

    /// Preconditions: `client` outlives this; the stores are not used elsewhere.
    storage_duty(duty& client, std::unique_ptr<raft_store> store, record_file claims,
                 std::string claims_path, on_done done);
    storage_duty(storage_duty const&) = delete;
    storage_duty& operator=(storage_duty const&) = delete;
    ~storage_duty();

    /// Queues a job; false when the ring is full.
    bool submit(storage_job job);
    /// Finishes nothing more; joins the thread.
    void stop();

private:
    std::optional<error> run(storage_job const& job);
    result<void> write_claims(persist_claims const& job);

    std::unique_ptr<raft_store> store_;
    record_file claims_;
    std::string claims_path_;
    ring<storage_done> done_;
    duty thread_;
    ring<storage_job> jobs_;
};

} // namespace guavashed
