/// \file
/// Defines tcp_session, a frame_session over one TCP connection.
#pragma once

#include "base/instant.hpp"
#include "transport/frame_wire.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace guavashed
{

/// Either end of a session: sends and expects a hello, then frames. Thread safety: the owning event
/// loop's thread only.
class tcp_session : public frame_session, public std::enable_shared_from_this<tcp_session>
{
public:
    using close_action = std::function<void(std::shared_ptr<tcp_session> const&)>;

    /// Precondition: `handler` outlives the session. `on_closed` runs once.
    tcp_session(boost::asio::ip::tcp::socket socket, frame_handler& handler,
                frame_identity const& identity, close_action on_closed);

    /// Sends the hello and starts reading. Call once.
    void start();
    bool send(frame_type type, std::string payload) override;
    void close() override;
    std::string const& peer() const override { return peer_; }
    instant last_received() const override { return last_received_; }

private:
    void queue(std::string bytes);
    void write();
    void read_header();
    std::size_t payload_limit() const { return open_ ? max_payload_bytes : max_hello_bytes; }
    void read_payload();
    bool deliver();
    void note_received();
    void schedule_ping();
    bool accept_hello();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer hello_timer_;
    boost::asio::steady_timer ping_timer_;
    instant last_received_;
    /// The session is closed if nothing arrives before this time.
    instant receive_deadline_;
    frame_handler& handler_;
    frame_identity identity_;
    close_action on_closed_;
    frame_header header_{};
    std::string payload_;
    std::string peer_;
    std::string batch_;
    std::deque<std::string> outgoing_;
    std::size_t queued_bytes_ = 0;
    bool writing_ = false;
    bool open_ = false;
    bool closed_ = false;
};

} // namespace guavashed
