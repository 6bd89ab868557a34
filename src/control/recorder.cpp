// Batches claims into writes of the claims file, and compacts that file.
#include "control/recorder.hpp"

#include "base/codec.hpp"

namespace guavashed
{
namespace
{

constexpr std::size_t max_queued_claims = 20'000;
constexpr std::size_t max_claims_per_sync = 4'000;
/// The file is rewritten when it holds this many records above twice the number of live claims.
constexpr std::size_t rewrite_slack_records = 100'000;

} // namespace

recorder::recorder(claim_book book, submit_job submit)
    : book_(std::move(book)), submit_(std::move(submit))
{
}

void recorder::on_request(claim_request request, reply_to reply)
{
    // No reply when the backlog is full: the claimant counts this recorder as missing, which is
    // safe.
    if (failed_ || queued_.size() >= max_queued_claims)
        return;
    queued_.push_back({std::move(request), std::move(reply)});
    flush();
}

void recorder::flush()
{
    if (write_in_progress_ || failed_ || queued_.empty())
        return;
    std::size_t const count = std::min(queued_.size(), max_claims_per_sync);
    writing_.assign(std::make_move_iterator(queued_.begin()),
                    std::make_move_iterator(queued_.begin() + static_cast<std::ptrdiff_t>(count)));
    queued_.erase(queued_.begin(), queued_.begin() + static_cast<std::ptrdiff_t>(count));
    persist_claims job;
    for (auto const& item : writing_)
        job.claims.push_back(item.request);
    write_in_progress_ = submit_(std::move(job));
    if (!write_in_progress_)
        writing_.clear();
}

void recorder::on_stored(wall_instant now, persist_claims const& job, bool failed)
{
    write_in_progress_ = false;
    failed_ = failed_ || failed;
    ++syncs_;
    if (!job.rewrite && !failed)
    {
        records_written_ += writing_.size();
        for (auto const& item : writing_)
        {
            claim_reply const reply = book_.apply(now, item.request);
            if (item.reply)
                item.reply(reply);
        }
    }
    writing_.clear();
    flush();
}

void recorder::tick(wall_instant now)
{
    book_.expire(now);
    if (write_in_progress_ || failed_ ||
        records_written_ < book_.size() * 2 + rewrite_slack_records)
        return;
    persist_claims job;
    job.rewrite = true;
    book_.for_each([&](claim_request const& request) { job.claims.push_back(request); });
    records_written_ = job.claims.size();
    write_in_progress_ = submit_(std::move(job));
}

result<record_file> open_claims(std::string const& path, claim_book& book)
{
    record_scan scan;
    BOOST_OUTCOME_TRY(auto file, record_file::open(path, scan));
    for (auto const& bytes : scan.records)
    {
        BOOST_OUTCOME_TRY(auto const request, decode<claim_request>(bytes, path));
        book.restore(request);
    }
    return file;
}

} // namespace guavashed
