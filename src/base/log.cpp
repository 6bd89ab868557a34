// Buffers log lines in memory and writes them to standard output from a separate thread.
#include "base/log.hpp"

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <ctime>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace guavashed
{
namespace
{

constexpr std::size_t max_queued_bytes = 512 * 1024;
/// Lines are written in batches at this interval, since each wake-up and system call costs CPU
/// time.
constexpr std::chrono::milliseconds write_interval{200};
constexpr std::size_t timestamp_bytes = 40;
/// Limit on lines about single requests; further ones are dropped.
constexpr std::uint64_t max_request_lines_per_s = 500;

class log_writer
{
public:
    void start(std::string label)
    {
        std::lock_guard const guard(mutex_);
        label_ = std::move(label);
        if (!thread_.joinable())
            thread_ = std::thread([this] { run(); });
    }

    void add(char const* level, std::string_view event, std::string const& fields)
    {
        std::string const line = timestamp() + " level=" + level + " process=" + label_ +
                                 " event=" + std::string(event) + " " + fields + "\n";
        std::lock_guard const guard(mutex_);
        if (stopped_ || queued_.size() + line.size() > max_queued_bytes)
        {
            ++dropped_;
            return;
        }
        queued_ += line;
    }

    bool admit_request()
    {
        auto const second = static_cast<std::uint64_t>(std::time(nullptr));
        if (current_second_.exchange(second) != second)
            requests_in_second_ = 0;
        if (++requests_in_second_ <= max_request_lines_per_s)
            return true;
        ++dropped_;
        return false;
    }

    std::uint64_t dropped() const { return dropped_; }

    void stop()
    {
        {
            std::lock_guard const guard(mutex_);
            stopped_ = true;
        }
        wake_.notify_all();
        if (thread_.joinable())
            thread_.join();
    }

private:
    static std::string timestamp()
    {
        timespec at{};
        clock_gettime(CLOCK_REALTIME, &at);
        tm parts{};
        gmtime_r(&at.tv_sec, &parts);
        char text[timestamp_bytes];
        std::size_t const length =
            std::strftime(text, sizeof text, "time=%Y-%m-%dT%H:%M:%S", &parts);
        std::string const fraction = std::to_string(1000 + at.tv_nsec / 1000000);
        return std::string(text, length) + "." + fraction.substr(1) + "Z";
    }

    void run()
    {
        std::unique_lock guard(mutex_);
        while (!stopped_ || !queued_.empty())
        {
            if (!stopped_)
                wake_.wait_for(guard, write_interval, [this] { return stopped_; });
            std::string batch;
            batch.swap(queued_);
            if (std::uint64_t const lost = dropped_; lost != reported_dropped_)
            {
                reported_dropped_ = lost;
                batch += timestamp() + " level=warning process=" + label_ +
                         " event=log_lines_dropped total=" + std::to_string(lost) + "\n";
            }
            guard.unlock();
            write_out(batch);
            guard.lock();
        }
    }

    void write_out(std::string const& bytes)
    {
        std::size_t written = 0;
        while (written < bytes.size())
        {
            ssize_t const n =
                ::write(STDOUT_FILENO, bytes.data() + written, bytes.size() - written);
            if (n < 0 && errno == EINTR)
                continue;
            if (n <= 0)
            {
                ++dropped_;
                return;
            }
            written += static_cast<std::size_t>(n);
        }
    }

    std::mutex mutex_;
    std::condition_variable wake_;
    std::thread thread_;
    std::string label_ = "guavashed";
    std::string queued_;
    bool stopped_ = false;
    std::uint64_t reported_dropped_ = 0;
    std::atomic<std::uint64_t> dropped_{0};
    std::atomic<std::uint64_t> current_second_{0};
    std::atomic<std::uint64_t> requests_in_second_{0};
};

log_writer& writer()
{
    // Never destroyed, since other threads may log until the process exits.
    static log_writer* const instance = new log_writer();
    return *instance;
}

char const* level_name(log_level level)
{
    switch (level)
    {
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

} // namespace

void start_log(std::string const& process_name)
{
    writer().start(process_name);
}

void log_change(log_level level, std::string_view event, std::string const& fields)
{
    writer().add(level_name(level), event, fields);
}

void log_request(std::string_view event, std::string const& fields)
{
    if (writer().admit_request())
        writer().add("info", event, fields);
}

std::uint64_t log_lines_dropped()
{
    return writer().dropped();
}

void stop_log()
{
    writer().stop();
}

} // namespace guavashed
