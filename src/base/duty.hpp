/// \file
/// Defines duty, a named thread with its own io_context, and ring, the bounded queue between two.
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

/// One job of the process on a thread of its own.
class duty
{
public:
    /// Starts the thread at once. No preconditions.
    explicit duty(std::string name);
    duty(duty const&) = delete;
    duty& operator=(duty const&) = delete;
    /// Stops and joins. Must not run on the duty's own thread.
    ~duty();

    /// The context whose handlers run on this duty's thread. Thread safe.
    boost::asio::io_context& context() { return context_; }
    /// Name for logs and metrics. Thread safe.
    std::string const& name() const { return name_; }
    /// Ends the loop and joins the thread; idempotent. Must not run on the duty's own thread.
    void stop();

private:
    std::string name_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

/// Bounded queue from one producing duty to one consuming duty; a full ring refuses at once.
///
/// Example: `ring<admit> to_decision(decision, 4096, [&](admit&& m) { on_admit(m); });`
/// Thread safety: `push` from one thread only; the receiver runs on the consumer's thread.
template <class Message>
class ring
{
public:
    using receiver = std::function<void(Message&&)>;

    ring(duty& consumer, std::size_t capacity, receiver on_message)
        : consumer_(consumer), queue_(capacity), on_message_(std::move(on_message))
    {
    }

    /// False when the ring is full: the caller answers "not run" or counts a drop, never waits.
    /// Precondition: always the same producing thread.
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

    duty& consumer_;
    boost::lockfree::spsc_queue<Message> queue_;
    receiver on_message_;
    std::atomic<bool> scheduled_{false};
};

} // namespace guavashed
