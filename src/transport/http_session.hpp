/// \file
/// Defines http_session, one caller connection of an http_server.
#pragma once

#include "base/instant.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <set>

namespace guavashed
{

class http_session;

/// State that all sessions of one server share. Thread safety: the owner's event loop only, except
/// the counters.
struct http_server_state
{
    http_server_state(event_loop& owner_loop, http_handler& request_handler,
                      http_server_limits initial_limits)
        : owner(owner_loop), handler(request_handler), limits(initial_limits)
    {
    }

    event_loop& owner;
    http_handler& handler;
    http_server_limits limits;
    /// Answers close their connections, and new connections are still accepted.
    bool draining = false;
    http_server_counters counters;
    /// Bytes of request bodies and of answers that wait for their turn.
    std::size_t buffered_bytes = 0;
    std::set<http_session*> sessions;
};

/// One connection. It reads ahead of its answers, so that a caller that leaves is noticed, and runs
/// pipelined requests at the same time where the handler allows that. Answers are written in the
/// order of the requests. Thread safety: the owner's event loop only.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(std::shared_ptr<http_server_state> server, boost::asio::ip::tcp::socket socket);
    http_session(http_session const&) = delete;
    http_session& operator=(http_session const&) = delete;
    ~http_session();

    /// Starts reading. Call once.
    void start();
    /// Closes the connection if it has served a request and no other has begun to arrive.
    void close_if_idle();

private:
    class exchange;
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// A request between its arrival and the end of its answer.
    struct slot
    {
        /// Set until the request is passed to the handler.
        std::optional<http_request> waiting;
        std::optional<http_response> response;
        std::weak_ptr<exchange> running;
        /// The handler allows it to run beside other requests of the connection.
        bool overlaps = false;
        bool keep_alive = true;
        bool is_head = false;
        /// Part of `http_server_state::buffered_bytes`.
        std::size_t buffered = 0;
    };

    enum class phase
    {
        serving,
        /// The next answer is the last one; no further request is read.
        finishing,
        /// The last answer is sent. Bytes are read and dropped, because closing a socket with
        /// unread bytes resets the connection and may destroy the answer.
        lingering,
        closed
    };

    void read();
    void on_readable(boost::system::error_code code);
    void on_peer_closed();
    bool has_peer_closed();
    /// Parses requests from the bytes that have arrived.
    void parse();
    bool can_take_request() const;
    /// Reads as much of the current request as has arrived; true when it is complete.
    bool parse_one();
    bool parse_head();
    bool parse_body();
    /// Bounds the memory of all bodies; false if the request was refused.
    bool reserve_body();
    void take_request();
    void run(std::shared_ptr<slot> const& item);
    void set_response(std::shared_ptr<slot> const& item, http_response&& response);
    /// Answers a request that cannot be read; the connection closes after it.
    void reject(unsigned status, std::string_view reason);
    void write_next();
    void on_written(boost::system::error_code code);
    void write_continue();
    void linger();
    void close();
    void abandon_all();
    void add_buffered(slot& item, std::size_t bytes);
    void release_buffered(slot& item);
    void update_read_deadline();
    void on_read_deadline();
    void wait_for_read_deadline();

    std::shared_ptr<http_server_state> server_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer read_timer_;
    boost::asio::steady_timer write_timer_;
    /// When the peer must have sent the rest of what it is due to send.
    instant read_deadline_ = instant::max();
    bool read_timer_runs_ = false;
    boost::beast::flat_buffer buffer_;
    std::optional<parser> parser_;
    /// When the current request's first byte arrived, or its head ended.
    instant stage_start_;
    /// When the last bytes reached this host.
    instant arrived_at_;
    std::size_t body_reserved_ = 0;
    bool continue_due_ = false;
    std::deque<std::shared_ptr<slot>> slots_;
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> outgoing_;
    phase phase_ = phase::serving;
    bool reading_ = false;
    bool writing_ = false;
    bool answered_any_ = false;
    std::size_t dropped_bytes_ = 0;
};

} // namespace guavashed
