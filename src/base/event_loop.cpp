// Runs the thread of an event loop.
#include "base/event_loop.hpp"

#include "base/log.hpp"

#include <boost/asio/post.hpp>
#include <exception>
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
            run();
        });
}

void event_loop::run()
{
    for (;;)
    {
        try
        {
            context_.run();
            return;
        }
        catch (std::exception const& failure)
        {
            // The failed handler costs its own work only; broken invariants abort the process.
            log_change(log_level::error, "event_handler_failed",
                       "loop=" + name_ + " reason=\"" + failure.what() + "\"");
        }
    }
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
