/// \file
/// Defines scripted_upstream, an upstream of a test that sends plain bytes.
#pragma once

#include "base/ids.hpp"

#include <atomic>
#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace guavashed
{

/// An upstream that answers each request of each connection with scripted bytes. Thread safety:
/// none, but for its own threads.
class scripted_upstream
{
public:
    /// Bytes for request `n` of a connection, counted from 0; `repeated` is then sent until the
    /// peer closes or `max_repeated_bytes` are sent, and without it the connection is kept or
    /// closed.
    struct script
    {
        std::vector<std::string> answers = {};
        std::string repeated = {};
        bool closes = false;
        bool resets = false;
        /// Keeps a peer without bounds from taking the memory of the whole machine.
        std::size_t max_repeated_bytes = 1000 * 1000 * 1000;
    };

    /// Listens on a free port of 127.0.0.1.
    explicit scripted_upstream(script what)
        : script_(std::move(what)),
          acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        port_ = acceptor_.local_endpoint().port();
        accepting_ = std::thread([this] { accept(); });
    }
    ~scripted_upstream()
    {
        stopping_ = true;
        boost::system::error_code ignored;
        boost::asio::ip::tcp::socket wake(context_);
        wake.connect({boost::asio::ip::make_address("127.0.0.1"), port_}, ignored);
        accepting_.join();
        for (auto& item : sockets_)
            item->shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        for (auto& item : serving_)
            item.join();
    }

    endpoint_text endpoint() const { return endpoint_text("127.0.0.1:" + std::to_string(port_)); }
    int connections() const { return connections_; }

private:
    void accept()
    {
        for (;;)
        {
            auto socket = std::make_shared<boost::asio::ip::tcp::socket>(context_);
            boost::system::error_code code;
            acceptor_.accept(*socket, code);
            if (stopping_ || code)
                return;
            ++connections_;
            sockets_.push_back(socket);
            serving_.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(boost::asio::ip::tcp::socket& socket)
    {
        boost::system::error_code code;
        std::string bytes;
        for (auto const& answer : script_.answers)
        {
            auto const head = boost::asio::read_until(socket, boost::asio::dynamic_buffer(bytes),
                                                      "\r\n\r\n", code);
            if (code)
                return;
            bytes.erase(0, head);
            boost::asio::write(socket, boost::asio::buffer(answer), code);
        }
        std::size_t sent = 0;
        while (!script_.repeated.empty() && !code && sent < script_.max_repeated_bytes)
            sent += boost::asio::write(socket, boost::asio::buffer(script_.repeated), code);
        if (script_.resets)
            socket.set_option(boost::asio::socket_base::linger(true, 0), code);
        if (script_.closes || script_.resets)
            socket.close(code);
    }

    script script_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    unsigned short port_ = 0;
    std::atomic<bool> stopping_{false};
    std::atomic<int> connections_{0};
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> sockets_;
    std::vector<std::thread> serving_;
    std::thread accepting_;
};

} // namespace guavashed
