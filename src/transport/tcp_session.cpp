// Implements tcp_session: the hello exchange, batched writes, heartbeats and the receive timeout.
#include "transport/tcp_session.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace guavashed
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::size_t max_queued_bytes = 32 * 1024 * 1024;
/// Queued frames are written together, up to about this size.
constexpr std::size_t max_batch_bytes = 256 * 1024;
constexpr std::chrono::seconds hello_timeout{5};

} // namespace

tcp_session::tcp_session(tcp::socket socket, frame_handler& handler, frame_identity const& identity,
                         close_action on_closed)
    : socket_(std::move(socket)), hello_timer_(socket_.get_executor()),
      ping_timer_(socket_.get_executor()), handler_(handler), identity_(identity),
      on_closed_(std::move(on_closed))
{
}

void tcp_session::start()
{
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    // Both ends send the key first. A peer that does not send the right one gets no other frame.
    queue(encode_frame(frame_type::hello, identity_.cluster_key + '\n' + identity_.name));
    hello_timer_.expires_after(hello_timeout);
    hello_timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code code)
        {
            auto const self = weak.lock();
            if (self && !code && !self->open_)
                self->close();
        });
    read_header();
}

bool tcp_session::send(frame_type type, std::string payload)
{
    if (closed_ || !open_)
        return false;
    if (queued_bytes_ + payload.size() > max_queued_bytes)
    {
        close();
        return false;
    }
    queue(encode_frame(type, payload));
    return true;
}

void tcp_session::close()
{
    if (closed_)
        return;
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    hello_timer_.cancel();
    ping_timer_.cancel();
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   if (self->open_)
                       self->handler_.on_close(self);
                   self->on_closed_(self);
               });
}

void tcp_session::queue(std::string bytes)
{
    queued_bytes_ += bytes.size();
    outgoing_.push_back(std::move(bytes));
    if (!writing_)
        write();
}

void tcp_session::write()
{
    writing_ = true;
    batch_.clear();
    std::size_t taken = 0;
    while (!outgoing_.empty() && taken < max_batch_bytes)
    {
        taken += outgoing_.front().size();
        batch_ += outgoing_.front();
        outgoing_.pop_front();
    }
    asio::async_write(socket_, asio::buffer(batch_),
                      [self = shared_from_this()](boost::system::error_code code, std::size_t n)
                      {
                          self->writing_ = false;
                          self->queued_bytes_ -= n;
                          if (code)
                              return self->close();
                          if (!self->outgoing_.empty())
                              self->write();
                      });
}

void tcp_session::read_header()
{
    asio::async_read(socket_, asio::buffer(&header_, sizeof header_),
                     [self = shared_from_this()](boost::system::error_code code, std::size_t)
                     {
                         if (code || !is_acceptable(self->header_, self->payload_limit()))
                             return self->close();
                         self->read_payload();
                     });
}

void tcp_session::read_payload()
{
    payload_.resize(header_.length);
    asio::async_read(socket_, asio::buffer(payload_),
                     [self = shared_from_this()](boost::system::error_code code, std::size_t)
                     {
                         if (code || !self->deliver())
                             return self->close();
                         self->read_header();
                     });
}

bool tcp_session::deliver()
{
    auto payload = decode_payload(header_, std::move(payload_));
    if (!payload)
        return false;
    payload_ = std::move(*payload);
    auto const type = static_cast<frame_type>(header_.type);
    note_received();
    if (open_ && type == frame_type::ping)
        return true;
    if (!open_)
        return type == frame_type::hello && accept_hello();
    handler_.on_frame(shared_from_this(), frame{type, std::move(payload_)});
    return !closed_;
}

void tcp_session::note_received()
{
    last_received_ = instant::clock::now();
    receive_deadline_ = last_received_ + identity_.receive_timeout;
}

void tcp_session::schedule_ping()
{
    ping_timer_.expires_after(identity_.ping_interval);
    ping_timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code code)
        {
            auto const self = weak.lock();
            if (!self || code || self->closed_)
                return;
            if (instant::clock::now() >= self->receive_deadline_)
                return self->close();
            self->queue(encode_frame(frame_type::ping, {}));
            self->schedule_ping();
        });
}

bool tcp_session::accept_hello()
{
    auto const newline = payload_.find('\n');
    if (newline == std::string::npos)
        return false;
    if (!equal_in_constant_time(std::string_view(payload_).substr(0, newline),
                                identity_.cluster_key))
        return false;
    peer_ = payload_.substr(newline + 1);
    open_ = true;
    hello_timer_.cancel();
    note_received();
    schedule_ping();
    handler_.on_open(shared_from_this());
    return true;
}

} // namespace guavashed
