// Runs storage jobs in the order of submission and returns their results.
#include "control/storage_worker.hpp"

#include "base/codec.hpp"

#include <filesystem>

namespace guavashed
{
namespace
{

constexpr std::size_t ring_capacity = 64;

} // namespace

storage_worker::storage_worker(event_loop& client, std::unique_ptr<raft_store> store,
                               record_file claims, std::string claims_path, on_done done)
    : store_(std::move(store)), claims_(std::move(claims)), claims_path_(std::move(claims_path)),
      done_(client, ring_capacity, std::move(done)), thread_("storage"),
      jobs_(thread_, ring_capacity,
            [this](storage_job&& job)
            {
                auto failure = run(job);
                done_.push(storage_done{std::move(job), std::move(failure)});
            })
{
}

storage_worker::~storage_worker()
{
    stop();
}

bool storage_worker::submit(storage_job job)
{
    return jobs_.push(std::move(job));
}

void storage_worker::stop()
{
    thread_.stop();
}

std::optional<error> storage_worker::run(storage_job const& job)
{
    result<void> outcome = boost::outcome_v2::success();
    if (auto const* log = std::get_if<persist_log>(&job))
        outcome = store_->persist(log->batch);
    else if (auto const* compact = std::get_if<compact_log>(&job))
        outcome = store_->compact(compact->snapshot, compact->kept);
    else
        outcome = write_claims(std::get<persist_claims>(job));
    if (outcome)
        return std::nullopt;
    return outcome.error();
}

result<void> storage_worker::write_claims(persist_claims const& job)
{
    if (!job.rewrite)
    {
        for (auto const& claim : job.claims)
        {
            BOOST_OUTCOME_TRY(claims_.append(encode(claim)));
        }
        return claims_.sync();
    }
    std::string const next = claims_path_ + ".new";
    std::error_code code;
    std::filesystem::remove(next, code);
    record_scan none;
    BOOST_OUTCOME_TRY(auto fresh, record_file::open(next, none));
    for (auto const& claim : job.claims)
    {
        BOOST_OUTCOME_TRY(fresh.append(encode(claim)));
    }
    BOOST_OUTCOME_TRY(fresh.sync());
    std::filesystem::rename(next, claims_path_, code);
    if (code)
        return fail(error_code::io_failure, "rename", next, code.message());
    claims_ = std::move(fresh);
    return boost::outcome_v2::success();
}

} // namespace guavashed
