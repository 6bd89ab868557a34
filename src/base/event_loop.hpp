/// \file
/// Defines event loop, a named thread that runs its own io_context, and ring, a bounded queue
/// between two such threads.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <string>
#include <thread>

namespace guavashed
{

/// An event loop on its own thread. An exception that leaves a handler is logged, and the loop goes
/// on.
class event_loop
{
public:
    /// Starts the thread. No preconditions.
    explicit event_loop(std::string name);
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;
    /// Stops the event loop and joins the thread. Must not run on the event loop's own thread.
    ~event_loop();

    /// The io_context whose handlers run on this thread. Thread safe.
    boost::asio::io_context& context() { return context_; }
    /// Thread name, for logs and metrics. Thread safe.
    std::string const& name() const { return name_; }
    /// Stops the event loop and joins the thread; idempotent. Must not run on the event loop's own
    /// thread.
    void stop();

private:
    void run();

    std::string name_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

/// Bounded queue from one producer thread to the event loop of one consumer; pushing to a full ring
/// fails without blocking.
///
/// Example: `ring<admit> to_decision(decision, 4096, [&](admit&& m) { on_admit(m); });`
/// Thread safety: `push` from one thread only; the receiver runs on the consumer's thread. Messages
/// are received in the order in which they were pushed.
template <class Message>
class ring
{
public:
    using receiver = std::function<void(Message&&)>;

    ring(event_loop& consumer, std::size_t capacity, receiver on_message)
        : consumer_(consumer), queue_(capacity), on_message_(std::move(on_message))
    {
    }

    /// Returns false when the ring is full. The producer must then reject the work as not run or
    /// count a dropped message; it never waits.
    /// Precondition: called from the same producer thread each time.
    bool push(Message message)
    {
        if (!queue_.push(std::move(message)))
            return false;
        if (!scheduled_.exchange(true, std::memory_order_acq_rel))
            boost::asio::post(consumer_.context(), [this] { drain(); });
        return true;
    }

private:
    void drain()
    {
        scheduled_.store(false, std::memory_order_release);
        queue_.consume_all([this](Message& message) { on_message_(std::move(message)); });
    }

    event_loop& consumer_;
    boost::lockfree::spsc_queue<Message> queue_;
    receiver on_message_;
    std::atomic<bool> scheduled_{false};
};

} // namespace guavashed
