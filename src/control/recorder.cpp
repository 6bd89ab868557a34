// Batches claims into writes of the claims file, and compacts that file.
#include "control/recorder.hpp"

#include "base/codec.hpp"

namespace guavashed
{
namespace
{

constexpr std::size_t max_waiting = 20'000;
constexpr std::size_t max_batch = 4'000;
/// The file is rewritten when it holds this many records above twice the number of live claims.
constexpr std::size_t rewrite_slack = 100'000;

} // namespace

recorder::recorder(claim_book book, submit_job submit)
    : book_(std::move(book)), submit_(std::move(submit))
{
}

void recorder::on_request(claim_request request, reply_to reply)
{
    // No reply when the backlog is full: the claimant counts this recorder as missing, which is
    // safe.
    if (failed_ || waiting_.size() >= max_waiting)
        return;
    waiting_.push_back({std::move(request), std::move(reply)});
    flush();
}

void recorder::flush()
{
    if (busy_ || failed_ || waiting_.empty())
        return;
    std::size_t const count = std::min(waiting_.size(), max_batch);
    writing_.assign(std::make_move_iterator(waiting_.begin()),
                    std::make_move_iterator(waiting_.begin() + static_cast<std::ptrdiff_t>(count)));
    waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(count));
    persist_claims job;
    for (auto const& item : writing_)
        job.claims.push_back(item.request);
    busy_ = submit_(std::move(job));
    if (!busy_)
        writing_.clear();
}

void recorder::on_stored(wall_instant now, persist_claims const& job, bool failed)
{
    busy_ = false;
    failed_ = failed_ || failed;
    ++syncs_;
    if (!job.rewrite && !failed)
    {
        written_ += writing_.size();
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
    if (busy_ || failed_ || written_ < book_.size() * 2 + rewrite_slack)
        return;
    persist_claims job;
    job.rewrite = true;
    book_.for_each([&](claim_request const& request) { job.claims.push_back(request); });
    written_ = job.claims.size();
    busy_ = submit_(std::move(job));
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
