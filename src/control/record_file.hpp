/// \file
/// Defines record_file, an append-only file of checksummed records that is synced on request.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace guavashed
{

/// Contents of a record file as read on open.
struct record_scan
{
    std::vector<std::string> records;
    /// Length of an incomplete write after the last valid record. It was never acknowledged.
    std::uint64_t torn_bytes = 0;
};

/// Receives the records of a file in their order; an error ends the reading.
using record_reader = std::function<result<void>(std::string&&)>;

/// Each record is stored as its length, its checksum and its bytes. An incomplete record at the end
/// of the file is dropped on open. A damaged record that valid ones follow is a `corrupt_file`
/// error with file and offset, since its contents may have been acknowledged.
///
/// Thread safety: none; used only on the storage thread after `open`.
class record_file
{
public:
    record_file() = default;
    record_file(record_file&& other) noexcept;
    record_file& operator=(record_file&& other) noexcept;
    record_file(record_file const&) = delete;
    record_file& operator=(record_file const&) = delete;
    ~record_file();

    /// Opens or creates the file and passes its records to `on_record`, with one of them in memory
    /// at a time; truncates a torn tail, whose length goes to `torn_bytes`, and syncs. Errors:
    /// `io_failure`, `corrupt_file`, and those of `on_record`.
    static result<record_file> open(std::string const& path, record_reader const& on_record,
                                    std::uint64_t& torn_bytes);
    /// The same, with the records collected in `found`.
    static result<record_file> open(std::string const& path, record_scan& found);

    /// Appends a record, which is durable only after `sync`. After a failure every later `append`
    /// and `sync` fails.
    result<void> append(std::string const& record);
    /// Makes all appended records durable. After a failure every later `append` and `sync` fails:
    /// the kernel may have dropped the dirty pages, and a second sync would then report success for
    /// lost data.
    result<void> sync();
    /// Length of the file in bytes.
    std::uint64_t size() const { return size_; }

private:
    std::string path_;
    int descriptor_ = -1;
    std::uint64_t size_ = 0;
    bool failed_ = false;
};

/// Replaces a file atomically: after a crash either the old or the new contents are there,
/// complete.
result<void> replace_file(std::string const& path, std::string const& bytes);

/// Reads a file written by `replace_file`; the result is empty if the file is absent. Error:
/// `corrupt_file` on a length or checksum mismatch.
result<std::string> read_checked_file(std::string const& path);

} // namespace guavashed
