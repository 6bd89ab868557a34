/// \file
/// Defines slow_downloads, callers that download files and read them slowly.
#pragma once

#include "platform_caller.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace fleet_test
{

struct slow_download_settings
{
    std::string host;
    /// Of the route whose requests `platform_upstream` answers with files.
    std::string prefix;
    std::vector<guavashed::endpoint_text> entries;
    std::size_t file_bytes = 0;
    /// Downloads at the same time.
    unsigned readers = 0;
    std::uint64_t seed = 1;
};

/// Each reader has one connection at a time, with a small receive buffer, and takes a few
/// kilobytes at a time. Thread safety: all methods are to be called from one thread.
class slow_downloads
{
public:
    explicit slow_downloads(slow_download_settings settings) : settings_(std::move(settings)) {}
    slow_downloads(slow_downloads const&) = delete;
    slow_downloads& operator=(slow_downloads const&) = delete;
    ~slow_downloads() { finish(); }

    void start();
    /// Begins no further downloads, and waits for those under way.
    void finish();
    /// All downloads that have ended, by request id.
    std::map<std::string, standin::platform_call> const& calls() const { return calls_; }

private:
    void read_files(unsigned reader);
    standin::platform_call download(std::string const& id, guavashed::endpoint_text const& entry);

    slow_download_settings settings_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
    std::mutex mutex_;
    std::map<std::string, standin::platform_call> calls_;
};

} // namespace fleet_test
