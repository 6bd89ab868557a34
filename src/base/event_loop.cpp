// Runs the thread of a duty.
#include "base/event_loop.hpp"

#include <boost/asio/post.hpp>
#include <pthread.h>

namespace guavashed
{
namespace
{

/// Linux rejects a longer thread name (16 bytes with the terminating null).
constexpr std::size_t max_thread_name_bytes = 15;

} // namespace

duty::duty(std::string name) : name_(std::move(name)), work_(boost::asio::make_work_guard(context_))
{
    thread_ = std::thread(
        [this]
        {
            pthread_setname_np(pthread_self(), name_.substr(0, max_thread_name_bytes).c_str());
            context_.run();
        });
}

duty::~duty()
{
    stop();
}

void duty::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

} // namespace guavashed
