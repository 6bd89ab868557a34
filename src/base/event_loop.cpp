// Runs the thread of a event loop.
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

event_loop::event_loop(std::string name)
    : name_(std::move(name)), work_(boost::asio::make_work_guard(context_))
{
    thread_ = std::thread(
        [this]
        {
            pthread_setname_np(pthread_self(), name_.substr(0, max_thread_name_bytes).c_str());
            context_.run();
        });
}

event_loop::~event_loop()
{
    stop();
}

void event_loop::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

} // namespace guavashed
