// The files of a replica: "identity", "snapshot" and "log", the log as records of whole batches.
#include "control/raft_store.hpp"

#include "base/codec.hpp"

#include <filesystem>
#include <random>

namespace guavashed
{
namespace
{

/// One change to the log or the vote.
struct log_operation
{
    static constexpr std::uint16_t wire_version = 1;

    enum class kind_type : std::uint8_t
    {
        entry = 0,
        truncate = 1,
        vote = 2
    };
    kind_type kind = kind_type::entry;
    raft_entry entry;
    log_index from;
    raft_vote vote;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, entry, from, vote);
    }
};

/// The changes of one batch. A batch is a single record of the file, so that a write which a power
/// loss left incomplete drops the whole batch, and is never mistaken for damage that precedes
/// acknowledged records.
struct log_batch
{
    static constexpr std::uint16_t wire_version = 1;

    std::vector<log_operation> operations;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(operations);
    }
};

/// Identifies the disk; written when a data folder is first used.
struct disk_identity
{
    static constexpr std::uint16_t wire_version = 1;

    disk_id disk;
    std::int64_t born_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(disk, born_ms);
    }
};

std::string log_path(std::string const& folder)
{
    return folder + "/log";
}
std::string snapshot_path(std::string const& folder)
{
    return folder + "/snapshot";
}
std::string identity_path(std::string const& folder)
{
    return folder + "/identity";
}

log_operation entry_operation(raft_entry const& entry)
{
    log_operation out;
    out.entry = entry;
    return out;
}

log_operation vote_operation(raft_vote const& vote)
{
    log_operation out;
    out.kind = log_operation::kind_type::vote;
    out.vote = vote;
    return out;
}

log_operation truncate_operation(log_index from)
{
    log_operation out;
    out.kind = log_operation::kind_type::truncate;
    out.from = from;
    return out;
}

void replay(log_operation&& operation, raft_restored& out)
{
    switch (operation.kind)
    {
    case log_operation::kind_type::vote:
        out.vote = operation.vote;
        return;
    case log_operation::kind_type::truncate:
        std::erase_if(out.entries,
                      [&](raft_entry const& item) { return item.index >= operation.from; });
        return;
    case log_operation::kind_type::entry:
        if (operation.entry.index > out.snapshot.index)
            out.entries.push_back(std::move(operation.entry));
        return;
    }
}

result<disk_identity> load_identity(std::string const& folder, bool& fresh)
{
    BOOST_OUTCOME_TRY(auto const bytes, read_checked_file(identity_path(folder)));
    if (!bytes.empty())
        return decode<disk_identity>(bytes, identity_path(folder));
    fresh = true;
    std::random_device device;
    disk_identity identity;
    identity.disk = disk_id((std::uint64_t{device()} << 32) | device());
    identity.born_ms = wall_ms(std::chrono::system_clock::now());
    BOOST_OUTCOME_TRY(replace_file(identity_path(folder), encode(identity)));
    return identity;
}

} // namespace

result<raft_store::opened> raft_store::open(std::string const& folder)
{
    std::error_code code;
    std::filesystem::create_directories(folder, code);
    if (code)
        return fail(error_code::io_failure, "create data folder", folder, code.message());
    opened out;
    BOOST_OUTCOME_TRY(auto const identity, load_identity(folder, out.fresh));
    out.disk = identity.disk;
    out.born = wall_instant(milliseconds(identity.born_ms));

    BOOST_OUTCOME_TRY(auto const snapshot, read_checked_file(snapshot_path(folder)));
    if (!snapshot.empty())
    {
        BOOST_OUTCOME_TRY(out.restored.snapshot,
                          decode<raft_snapshot>(snapshot, snapshot_path(folder)));
    }
    record_reader const replay_batch = [&](std::string&& bytes) -> result<void>
    {
        BOOST_OUTCOME_TRY(auto batch, decode<log_batch>(bytes, log_path(folder)));
        for (auto& operation : batch.operations)
            replay(std::move(operation), out.restored);
        return boost::outcome_v2::success();
    };
    BOOST_OUTCOME_TRY(auto log, record_file::open(log_path(folder), replay_batch, out.torn_bytes));
    std::uint64_t expected = out.restored.snapshot.index.value();
    for (auto const& entry : out.restored.entries)
        if (entry.index.value() != ++expected)
            return fail(error_code::corrupt_file, "read records", log_path(folder),
                        "entry " + std::to_string(expected) + " is missing; entry " +
                            std::to_string(entry.index.value()) + " is in its place");
    out.store = std::make_unique<raft_store>();
    out.store->folder_ = folder;
    out.store->log_ = std::move(log);
    out.store->vote_ = out.restored.vote;
    return out;
}

result<void> raft_store::rewrite_log(std::vector<raft_entry> const& entries)
{
    std::string const next = log_path(folder_) + ".new";
    std::filesystem::remove(next);
    record_scan empty;
    BOOST_OUTCOME_TRY(auto fresh, record_file::open(next, empty));
    log_batch record;
    // The new log must hold the last vote before it replaces the old one; a forgotten vote could be
    // given twice in a term.
    record.operations.push_back(vote_operation(vote_));
    for (auto const& entry : entries)
        record.operations.push_back(entry_operation(entry));
    BOOST_OUTCOME_TRY(fresh.append(encode(record)));
    BOOST_OUTCOME_TRY(fresh.sync());
    std::error_code code;
    std::filesystem::rename(next, log_path(folder_), code);
    if (code)
        return fail(error_code::io_failure, "rename", next, code.message());
    record_reader const skip = [](std::string&&) -> result<void>
    { return boost::outcome_v2::success(); };
    std::uint64_t torn_bytes = 0;
    BOOST_OUTCOME_TRY(log_, record_file::open(log_path(folder_), skip, torn_bytes));
    return boost::outcome_v2::success();
}

result<void> raft_store::persist(raft_batch const& batch)
{
    if (batch.install)
    {
        BOOST_OUTCOME_TRY(replace_file(snapshot_path(folder_), encode(*batch.install)));
        BOOST_OUTCOME_TRY(rewrite_log({}));
    }
    log_batch record;
    if (batch.truncate_from)
        record.operations.push_back(truncate_operation(*batch.truncate_from));
    for (auto const& entry : batch.append)
        record.operations.push_back(entry_operation(entry));
    if (batch.vote)
        record.operations.push_back(vote_operation(*batch.vote));
    if (!record.operations.empty())
    {
        BOOST_OUTCOME_TRY(log_.append(encode(record)));
    }
    BOOST_OUTCOME_TRY(log_.sync());
    vote_ = batch.vote.value_or(vote_);
    return boost::outcome_v2::success();
}

result<void> raft_store::compact(raft_snapshot const& snapshot, std::vector<raft_entry> const& kept)
{
    BOOST_OUTCOME_TRY(replace_file(snapshot_path(folder_), encode(snapshot)));
    return rewrite_log(kept);
}

} // namespace guavashed
