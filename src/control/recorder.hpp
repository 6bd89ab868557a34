/// \file
/// Defines recorder, which replies to claims on a control host once they are synced to its disk.
#pragma once

#include "control/claim_book.hpp"
#include "control/record_file.hpp"
#include "control/storage_worker.hpp"

#include <functional>
#include <vector>

namespace guavashed
{

/// Queues claims while a write is in progress and then writes them with one sync. Thread safety:
/// none; used only on the control event loop.
class recorder
{
public:
    /// Sends a reply to the entry host that made the request.
    using reply_to = std::function<void(claim_reply const&)>;
    /// Submits a job to the storage thread; false when its queue is full.
    using submit_job = std::function<bool(persist_claims)>;

    recorder(claim_book book, submit_job submit);

    /// Queues a request; `reply` is called after its sync. Without a reply the entry host counts
    /// this recorder as missing: so when the backlog is full or after a storage failure.
    void on_request(claim_request request, reply_to reply);
    /// Handles the end of the job submitted last. After a failure nothing more is acknowledged.
    void on_stored(wall_instant now, persist_claims const& job, bool failed);
    /// Removes expired claims and submits a rewrite of the file when it has grown too large.
    void tick(wall_instant now);

    std::size_t size() const { return book_.size(); }
    std::uint64_t syncs() const { return syncs_; }

private:
    struct queued_claim
    {
        claim_request request;
        reply_to reply;
    };

    void flush();

    claim_book book_;
    submit_job submit_;
    std::vector<queued_claim> queued_;
    std::vector<queued_claim> writing_;
    bool write_in_progress_ = false;
    bool failed_ = false;
    /// Records in the file, not counting those that it held at start.
    std::size_t records_written_ = 0;
    std::uint64_t syncs_ = 0;
};

/// Opens the claims file, creating it if absent, and restores its records into `book`. Errors:
/// `io_failure`, `corrupt_file`; `invalid_frame` for a record that does not decode.
result<record_file> open_claims(std::string const& path, claim_book& book);

} // namespace guavashed
