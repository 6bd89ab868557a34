/// \file
/// Defines recorder, which lets a control host's claim book answer only after its disk has.
#pragma once

#include "control/claim_book.hpp"
#include "control/record_file.hpp"
#include "control/storage_duty.hpp"

#include <functional>
#include <vector>

namespace guavashed
{

/// Collects claims while the disk is busy and writes them together. Thread safety: none; the
/// control duty owns it.
class recorder
{
public:
    /// Sends a reply to the entry host that asked.
    using reply_to = std::function<void(claim_reply const&)>;
    /// Hands a job to the storage duty.
    using submit_job = std::function<bool(persist_claims)>;

    recorder(claim_book book, submit_job submit);

    void on_request(claim_request request, reply_to reply);
    /// The job handed over last is done; after a failure nothing more is acknowledged.
    void on_stored(wall_instant now, persist_claims const& job, bool failed);
    void tick(wall_instant now);

    std::size_t size() const { return book_.size(); }
    std::uint64_t syncs() const { return syncs_; }

private:
    struct waiting_claim
    {
        claim_request request;
        reply_to reply;
    };

    void flush();

    claim_book book_;
    submit_job submit_;
    std::vector<waiting_claim> waiting_;
    std::vector<waiting_claim> writing_;
    bool busy_ = false;
    bool failed_ = false;
    std::size_t written_ = 0;
    std::uint64_t syncs_ = 0;
};

/// Reads the claims file back into a book. The file is created when absent.
result<record_file> open_claims(std::string const& path, claim_book& book);

} // namespace guavashed
