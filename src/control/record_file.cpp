// Checksummed records in a file, and files that are replaced atomically.
#include "control/record_file.hpp"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>
#include <xxhash.h>

namespace guavashed
{
namespace
{

constexpr std::uint32_t max_record_bytes = 64 * 1024 * 1024;

/// Precedes each record. The length has a checksum of its own, so that a damaged length is not
/// used.
struct record_header
{
    std::uint32_t length;
    std::uint32_t header_check;
    std::uint64_t checksum;
};
static_assert(sizeof(record_header) == 16);

std::uint32_t checksum_of_length(std::uint32_t length)
{
    return static_cast<std::uint32_t>(XXH3_64bits(&length, sizeof length));
}

error io_error(std::string step, std::string const& path)
{
    return fail(error_code::io_failure, std::move(step), path, std::strerror(errno));
}

std::string framed(std::string const& record)
{
    record_header header{};
    header.length = static_cast<std::uint32_t>(record.size());
    header.header_check = checksum_of_length(header.length);
    header.checksum = XXH3_64bits(record.data(), record.size());
    std::string out(sizeof header, '\0');
    std::memcpy(out.data(), &header, sizeof header);
    return out + record;
}

result<void> write_all(int descriptor, std::string const& bytes, std::string const& path)
{
    std::size_t written = 0;
    while (written < bytes.size())
    {
        ssize_t const n = ::write(descriptor, bytes.data() + written, bytes.size() - written);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return io_error("write", path);
        written += static_cast<std::size_t>(n);
    }
    return boost::outcome_v2::success();
}

result<void> sync_folder_of(std::string const& path)
{
    std::string const folder = std::filesystem::path(path).parent_path().string();
    int const descriptor = ::open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY);
    if (descriptor < 0)
        return io_error("open folder", folder);
    int const synced = ::fsync(descriptor);
    ::close(descriptor);
    if (synced != 0)
        return io_error("sync folder", folder);
    return boost::outcome_v2::success();
}

std::string read_whole(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream out;
    out << file.rdbuf();
    return std::move(out).str();
}

bool is_usable(record_header const& header)
{
    return header.header_check == checksum_of_length(header.length) &&
           header.length <= max_record_bytes;
}

/// Length of the record at `offset` with its header, 0 when it is damaged or incomplete.
std::size_t valid_record_length(std::string const& bytes, std::size_t offset)
{
    if (bytes.size() - offset < sizeof(record_header))
        return 0;
    record_header header;
    std::memcpy(&header, bytes.data() + offset, sizeof header);
    if (!is_usable(header) || bytes.size() - offset - sizeof header < header.length)
        return 0;
    char const* const body = bytes.data() + offset + sizeof header;
    if (XXH3_64bits(body, header.length) != header.checksum)
        return 0;
    return sizeof header + header.length;
}

/// True when a valid record starts anywhere after the damaged one at the beginning of `bytes`: the
/// damage is then not a torn tail.
bool valid_record_follows(std::string const& bytes)
{
    for (std::size_t at = 1; at + sizeof(record_header) <= bytes.size(); ++at)
        if (valid_record_length(bytes, at) > sizeof(record_header))
            return true;
    return false;
}

/// Reads `length` bytes at `offset`; fewer only at the end of the file.
result<std::string> read_at(int descriptor, std::uint64_t offset, std::size_t length,
                            std::string const& path)
{
    std::string out(length, '\0');
    std::size_t done = 0;
    while (done < length)
    {
        ssize_t const n = ::pread(descriptor, out.data() + done, length - done,
                                  static_cast<off_t>(offset + done));
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return io_error("read", path);
        if (n == 0)
            break;
        done += static_cast<std::size_t>(n);
    }
    out.resize(done);
    return out;
}

/// Reads the record at `offset`; empty when it is damaged or incomplete.
result<std::optional<std::string>> read_record(int descriptor, std::uint64_t offset,
                                               std::uint64_t file_size, std::string const& path)
{
    if (file_size - offset < sizeof(record_header))
        return std::optional<std::string>();
    BOOST_OUTCOME_TRY(auto const bytes, read_at(descriptor, offset, sizeof(record_header), path));
    record_header header{};
    std::memcpy(&header, bytes.data(), bytes.size());
    if (!is_usable(header) || file_size - offset - sizeof header < header.length)
        return std::optional<std::string>();
    BOOST_OUTCOME_TRY(auto body, read_at(descriptor, offset + sizeof header, header.length, path));
    if (body.size() != header.length || XXH3_64bits(body.data(), body.size()) != header.checksum)
        return std::optional<std::string>();
    return std::optional(std::move(body));
}

} // namespace

record_file::record_file(record_file&& other) noexcept
{
    *this = std::move(other);
}

record_file& record_file::operator=(record_file&& other) noexcept
{
    std::swap(path_, other.path_);
    std::swap(descriptor_, other.descriptor_);
    std::swap(size_, other.size_);
    std::swap(failed_, other.failed_);
    return *this;
}

record_file::~record_file()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

result<record_file> record_file::open(std::string const& path, record_reader const& on_record,
                                      std::uint64_t& torn_bytes)
{
    record_file out;
    out.path_ = path;
    out.descriptor_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (out.descriptor_ < 0)
        return io_error("open", path);
    struct stat status = {};
    if (::fstat(out.descriptor_, &status) != 0)
        return io_error("read size", path);
    auto const file_size = static_cast<std::uint64_t>(status.st_size);
    while (out.size_ < file_size)
    {
        BOOST_OUTCOME_TRY(auto record, read_record(out.descriptor_, out.size_, file_size, path));
        if (!record)
            break;
        out.size_ += sizeof(record_header) + record->size();
        BOOST_OUTCOME_TRY(on_record(std::move(*record)));
    }
    torn_bytes = file_size - out.size_;
    if (torn_bytes > 0)
    {
        BOOST_OUTCOME_TRY(auto const tail, read_at(out.descriptor_, out.size_, torn_bytes, path));
        if (valid_record_follows(tail))
            return fail(error_code::corrupt_file, "read records", path,
                        "record at offset " + std::to_string(out.size_) + " of " +
                            std::to_string(file_size) +
                            " bytes is damaged and valid records follow it; restore the file or "
                            "remove the data folder, so that this host rejoins with an empty disk");
        if (::ftruncate(out.descriptor_, static_cast<off_t>(out.size_)) != 0)
            return io_error("truncate torn tail", path);
    }
    if (::fsync(out.descriptor_) != 0)
        return io_error("sync", path);
    BOOST_OUTCOME_TRY(sync_folder_of(path));
    return out;
}

result<record_file> record_file::open(std::string const& path, record_scan& found)
{
    record_reader const collect = [&found](std::string&& record) -> result<void>
    {
        found.records.push_back(std::move(record));
        return boost::outcome_v2::success();
    };
    return open(path, collect, found.torn_bytes);
}

result<void> record_file::append(std::string const& record)
{
    if (failed_)
        return fail(error_code::io_failure, "append", path_, "an earlier write or sync failed");
    std::string const bytes = framed(record);
    auto const written = write_all(descriptor_, bytes, path_);
    if (!written)
    {
        failed_ = true;
        return written.error();
    }
    size_ += bytes.size();
    return boost::outcome_v2::success();
}

result<void> record_file::sync()
{
    if (failed_)
        return fail(error_code::io_failure, "sync", path_, "an earlier write or sync failed");
    if (::fdatasync(descriptor_) != 0)
    {
        failed_ = true;
        return io_error("sync", path_);
    }
    return boost::outcome_v2::success();
}

result<void> replace_file(std::string const& path, std::string const& bytes)
{
    std::string const temporary = path + ".new";
    int const descriptor =
        ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (descriptor < 0)
        return io_error("create", temporary);
    auto written = write_all(descriptor, framed(bytes), temporary);
    if (written && ::fsync(descriptor) != 0)
        written = io_error("sync", temporary);
    ::close(descriptor);
    BOOST_OUTCOME_TRY(written);
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return io_error("rename", path);
    return sync_folder_of(path);
}

result<std::string> read_checked_file(std::string const& path)
{
    if (!std::filesystem::exists(path))
        return std::string();
    std::string const bytes = read_whole(path);
    if (valid_record_length(bytes, 0) != bytes.size() || bytes.empty())
        return fail(error_code::corrupt_file, "read", path,
                    "length or checksum mismatch in a file of " + std::to_string(bytes.size()) +
                        " bytes");
    return bytes.substr(sizeof(record_header));
}

} // namespace guavashed
