// Guards against a replica that fails to start, or starts with less than it acknowledged, after a
// power loss. The last write may then have reached the disk in part, in any of its bytes.
#include "control/raft_store.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace guavashed;

namespace
{

std::string fresh_folder(std::string const& name)
{
    auto const path = std::filesystem::temp_directory_path() / ("guavashed_store_" + name);
    std::filesystem::remove_all(path);
    return path.string();
}

raft_batch batch_of(std::uint64_t first, std::uint64_t last)
{
    raft_batch batch;
    for (std::uint64_t at = first; at <= last; ++at)
        batch.append.push_back(
            {log_term(1), log_index(at), entry_kind::command, "command " + std::to_string(at)});
    return batch;
}

/// Corrupts one byte, as a write that reached the disk only in part would leave it.
void corrupt_byte(std::string const& path, std::uint64_t offset)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    char byte = 0;
    file.get(byte);
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(static_cast<char>(byte ^ 0x5a));
}

} // namespace

TEST_CASE("a replica's log after a power loss")
{
    std::string const folder = fresh_folder("power");
    std::string const log = folder + "/log";
    std::uint64_t synced = 0;
    {
        auto opened = raft_store::open(folder);
        REQUIRE(opened);
        REQUIRE(opened.value().store->persist(batch_of(1, 2)));
        synced = std::filesystem::file_size(log);
        REQUIRE(opened.value().store->persist(batch_of(3, 6)));
    }
    std::uint64_t const whole = std::filesystem::file_size(log);

    SECTION("has every entry if all writes reached the disk")
    {
        auto opened = raft_store::open(folder);
        REQUIRE(opened);
        CHECK(opened.value().restored.entries.size() == 6);
    }
    SECTION("lacks the whole last batch if any byte of it is corrupt")
    {
        // The sync of this batch had not returned, so none of its entries was acknowledged.
        std::uint64_t const at = GENERATE(0, 17, 40, 90, 140);
        REQUIRE(synced + at < whole);
        corrupt_byte(log, synced + at);
        auto opened = raft_store::open(folder);
        REQUIRE(opened);
        CHECK(opened.value().restored.entries.size() == 2);
        CHECK(opened.value().torn_bytes == whole - synced);
    }
    SECTION("lacks the whole last batch if its last byte is missing")
    {
        std::filesystem::resize_file(log, whole - 1);
        auto opened = raft_store::open(folder);
        REQUIRE(opened);
        CHECK(opened.value().restored.entries.size() == 2);
    }
    SECTION("is refused if an acknowledged batch before the last is corrupt")
    {
        corrupt_byte(log, synced / 2);
        CHECK_FALSE(raft_store::open(folder));
    }
    std::filesystem::remove_all(folder);
}
