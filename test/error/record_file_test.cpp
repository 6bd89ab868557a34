// Guards against a record file that loses synced records, or returns damaged ones, after a write
// cut short by a crash, a corrupted byte or a full disk.
#include "control/raft_store.hpp"
#include "control/record_file.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

using namespace guavashed;

namespace
{

/// Limits the size of files during its lifetime, so that a write fails part-way as on a full disk.
class file_size_limit
{
public:
    explicit file_size_limit(std::uint64_t bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &before_);
        rlimit const limit{bytes, before_.rlim_max};
        ::setrlimit(RLIMIT_FSIZE, &limit);
    }
    file_size_limit(file_size_limit const&) = delete;
    file_size_limit& operator=(file_size_limit const&) = delete;
    ~file_size_limit() { ::setrlimit(RLIMIT_FSIZE, &before_); }

private:
    rlimit before_{};
};

std::string fresh_folder()
{
    std::string const out = "/tmp/guavashed-records-" + std::to_string(::getpid());
    std::filesystem::remove_all(out);
    std::filesystem::create_directories(out);
    return out;
}

void flip_byte(std::string const& path, std::uint64_t offset)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    char const byte = static_cast<char>(file.get());
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(static_cast<char>(byte ^ 0x40));
}

} // namespace

SCENARIO("synced records survive incomplete writes, and damage is reported")
{
    std::string const folder = fresh_folder();
    std::string const path = folder + "/records";
    {
        record_scan none;
        auto file = record_file::open(path, none);
        REQUIRE(file);
        for (char const* text : {"one", "two", "three"})
            REQUIRE(file.value().append(text));
        REQUIRE(file.value().sync());
    }
    GIVEN("an intact file")
    {
        record_scan found;
        REQUIRE(record_file::open(path, found));
        CHECK(found.records == std::vector<std::string>{"one", "two", "three"});
        CHECK(found.torn_bytes == 0);
    }
    GIVEN("a last record cut short at every length")
    {
        auto const whole = std::filesystem::file_size(path);
        for (std::uintmax_t cut = 1; cut < 21; ++cut)
        {
            std::string const copy = folder + "/copy";
            std::filesystem::copy_file(path, copy,
                                       std::filesystem::copy_options::overwrite_existing);
            std::filesystem::resize_file(copy, whole - cut);
            record_scan found;
            REQUIRE(record_file::open(copy, found));
            CHECK(found.records == std::vector<std::string>{"one", "two"});
            CHECK(found.torn_bytes == 21 - cut);
            THEN("opening the file has removed the torn tail")
            {
                record_scan again;
                REQUIRE(record_file::open(copy, again));
                CHECK(again.torn_bytes == 0);
            }
        }
    }
    GIVEN("a corrupt byte in a record that others follow")
    {
        flip_byte(path, 20);
        record_scan found;
        auto const opened = record_file::open(path, found);
        REQUIRE_FALSE(opened);
        THEN("the error has the file and the offset of the record")
        {
            CHECK(opened.error().code == error_code::corrupt_file);
            CHECK(opened.error().peer == path);
            CHECK(opened.error().detail.find("offset 19") != std::string::npos);
        }
    }
    GIVEN("a disk that is full part-way through a write")
    {
        record_scan found;
        auto file = record_file::open(path, found);
        REQUIRE(file);
        {
            file_size_limit const limit(file.value().size() + 5);
            CHECK_FALSE(file.value().append("four"));
        }
        THEN("later writes and syncs fail, even after space is available again")
        {
            CHECK_FALSE(file.value().sync());
            CHECK_FALSE(file.value().append("five"));
            AND_THEN("the synced records are there and the failed write is not")
            {
                record_scan again;
                REQUIRE(record_file::open(path, again));
                CHECK(again.records == std::vector<std::string>{"one", "two", "three"});
                CHECK(again.torn_bytes == 5);
            }
        }
    }
}

// A replica that restarts with another log, vote or disk identity than it wrote may vote twice in a
// term or lose acknowledged entries.
SCENARIO("a replica's store is read back as it was written")
{
    std::string const folder = fresh_folder() + "/data";
    auto opened = raft_store::open(folder);
    REQUIRE(opened);
    CHECK(opened.value().fresh);
    disk_id const disk = opened.value().disk;
    raft_batch batch;
    for (std::uint64_t i = 1; i <= 5; ++i)
        batch.append.push_back(
            {log_term(1), log_index(i), entry_kind::command, std::string(10, 'x')});
    batch.vote = raft_vote{log_term(1), host_name("c0")};
    REQUIRE(opened.value().store->persist(batch));
    raft_batch replaced;
    replaced.truncate_from = log_index(4);
    replaced.append.push_back({log_term(2), log_index(4), entry_kind::command, "new"});
    REQUIRE(opened.value().store->persist(replaced));
    opened.value().store.reset();

    WHEN("it is opened again")
    {
        auto const again = raft_store::open(folder);
        REQUIRE(again);
        CHECK_FALSE(again.value().fresh);
        CHECK(again.value().disk == disk);
        CHECK(again.value().restored.vote.voted_for == host_name("c0"));
        REQUIRE(again.value().restored.entries.size() == 4);
        CHECK(again.value().restored.entries[3].payload == "new");
    }
    WHEN("it is compacted")
    {
        auto again = raft_store::open(folder);
        REQUIRE(again);
        raft_snapshot snapshot{log_index(3), log_term(1), {}, "state"};
        std::vector<raft_entry> const kept{again.value().restored.entries[3]};
        REQUIRE(again.value().store->compact(snapshot, kept));
        auto const third = raft_store::open(folder);
        REQUIRE(third);
        CHECK(third.value().restored.snapshot.state == "state");
        CHECK(third.value().restored.vote.term == log_term(1));
        REQUIRE(third.value().restored.entries.size() == 1);
    }
    WHEN("a byte of the log is corrupt")
    {
        flip_byte(folder + "/log", 30);
        auto const again = raft_store::open(folder);
        REQUIRE_FALSE(again);
        CHECK(again.error().code == error_code::corrupt_file);
    }
    WHEN("the data folder is removed")
    {
        std::filesystem::remove_all(folder);
        auto const again = raft_store::open(folder);
        REQUIRE(again);
        THEN("the store has a new disk id, which makes it a new member")
        {
            CHECK(again.value().disk != disk);
        }
    }
}
