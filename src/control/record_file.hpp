/// \file
/// Defines record_file, an append-only file of checksummed records that is synced on request.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace guavashed
{

/// What a scan of a record file found.
struct record_scan
{
    std::vector<std::string> records;
    /// Bytes after the last whole record: a write that was cut short. They were never acknowledged.
    std::uint64_t torn_bytes = 0;
};

/// Each record is its length, its checksum and its bytes. A record that is cut short at the end of
/// the file is dropped on open; a damaged record with others after it is a `corrupt_file` error
/// that names file and offset, since what it held may have been acknowledged.
///
/// Thread safety: none; the storage duty owns it.
class record_file
{
public:
    record_file() = default;
    record_file(record_file&& other) noexcept;
    record_file& operator=(record_file&& other) noexcept;
    record_file(record_file const&) = delete;
    record_file& operator=(record_file const&) = delete;
    ~record_file();

    /// Opens or creates the file and reads it back; a torn tail is cut off and synced.
    static result<record_file> open(std::string const& path, record_scan& found);

    /// Writes a record; it lasts only after `sync`.
    result<void> append(std::string const& record);
    /// Makes all that was appended last. After a failure nothing more is accepted: a second sync
    /// could report as lasting what the first one lost.
    result<void> sync();
    /// Bytes in the file.
    std::uint64_t size() const { return size_; }

private:
    std::string path_;
    int descriptor_ = -1;
    std::uint64_t size_ = 0;
    bool failed_ = false;
};

/// Replaces a file so that after a crash either the old or the new one is there, whole.
result<void> replace_file(std::string const& path, std::string const& bytes);

/// Reads a file written by `replace_file`; absent files are empty. A damaged one is an error.
result<std::string> read_checked_file(std::string const& path);

} // namespace guavashed
