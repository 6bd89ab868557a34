/// \file
/// Defines raw_caller, a connection of a test that sends and receives plain bytes.
#pragma once

#include "base/instant.hpp"

#include <boost/asio.hpp>
#include <string>

namespace guavashed
{

/// A blocking connection to a port of this machine. Thread safety: none.
class raw_caller
{
public:
    /// Connects and sends `bytes`. `receive_buffer` is what the kernel takes for a caller that
    /// doesn't read, where it isn't 0; else that is megabytes on this machine.
    explicit raw_caller(boost::asio::ip::tcp::endpoint const& to, std::string const& bytes = {},
                        int receive_buffer = 0)
        : socket_(context_)
    {
        socket_.open(to.protocol());
        if (receive_buffer > 0)
            socket_.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer));
        socket_.connect(to);
        send(bytes);
    }
    /// The same, to a port of 127.0.0.1.
    explicit raw_caller(unsigned short port, std::string const& bytes = {}, int receive_buffer = 0)
        : raw_caller({boost::asio::ip::make_address("127.0.0.1"), port}, bytes, receive_buffer)
    {
    }

    /// Ignores a failure: the peer may have closed the connection meanwhile.
    void send(std::string const& bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }
    void close() { socket_.close(); }

    /// Bytes that arrive within `limit`, at most until the peer closes.
    std::string receive_for(milliseconds limit)
    {
        return receive(limit, [](std::string const&) { return false; });
    }
    /// Bytes until `end` has arrived, or 5 s have passed.
    std::string receive_until(std::string const& end)
    {
        return receive(default_limit,
                       [&](std::string const& all) { return all.find(end) != std::string::npos; });
    }
    /// Reads once, up to `most` bytes, and returns their number; 0 when the connection has ended.
    std::size_t read_some(std::size_t most)
    {
        std::string buffer(most, ' ');
        return socket_.read_some(boost::asio::buffer(buffer), failure_);
    }
    /// Bytes until the peer closes, or 5 s have passed.
    std::string receive_to_end() { return receive_for(default_limit); }
    /// Whether the connection ended with a reset.
    bool was_reset() const { return failure_ == boost::asio::error::connection_reset; }
    /// Whether the peer has closed the connection, with or without a reset.
    bool has_ended() const { return failure_.failed() && !timed_out_; }

private:
    static constexpr milliseconds default_limit{5000};

    template <class Condition>
    std::string receive(milliseconds limit, Condition complete)
    {
        std::string out;
        std::array<char, 64 * 1024> buffer;
        timed_out_ = false;
        boost::asio::steady_timer timer(context_, limit);
        timer.async_wait(
            [&](boost::system::error_code code)
            {
                timed_out_ = !code;
                if (!code)
                    socket_.cancel();
            });
        std::function<void()> read = [&]
        {
            socket_.async_read_some(boost::asio::buffer(buffer),
                                    [&](boost::system::error_code code, std::size_t count)
                                    {
                                        out.append(buffer.data(), count);
                                        failure_ = code;
                                        // A read that ended just before the limit is the last one.
                                        if (!code && !timed_out_ && !complete(out))
                                            return read();
                                        timer.cancel();
                                    });
        };
        read();
        context_.restart();
        context_.run();
        return out;
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    boost::system::error_code failure_;
    bool timed_out_ = false;
};

enum class call_result
{
    answered,
    /// The connection was refused, or closed before the request could have been read.
    not_connected,
    /// The connection ended without a complete answer.
    cut
};

/// Opens a connection, sends one request and waits for an answer that contains `end`.
inline call_result call_once(boost::asio::ip::tcp::endpoint const& to, std::string const& request,
                             std::string const& end)
{
    try
    {
        raw_caller caller(to, request);
        bool const whole = caller.receive_until(end).find(end) != std::string::npos;
        return whole ? call_result::answered : call_result::cut;
    }
    catch (boost::system::system_error const&)
    {
        return call_result::not_connected;
    }
}

/// The same, to a port of 127.0.0.1.
inline call_result call_once(unsigned short port, std::string const& request,
                             std::string const& end)
{
    return call_once({boost::asio::ip::make_address("127.0.0.1"), port}, request, end);
}

} // namespace guavashed
