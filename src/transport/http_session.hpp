/// \file
/// Defines http_session, one caller connection of an http_server.
#pragma once

#include "base/instant.hpp"
#include "transport/held_answers.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <set>

namespace guavashed
{

class http_session;

/// Why a connection is closed before its answers are written.
enum class give_up_reason : std::uint8_t
{
    /// The host holds too many bytes.
    memory,
    /// The caller has taken nothing for `http_server_limits::idle_timeout`.
    no_progress
};

/// State that all sessions of one server share. Thread safety: the owner's event loop only, except
/// the counters.
struct http_server_state
{
    http_server_state(event_loop& owner_loop, http_handler& request_handler,
                      http_server_limits initial_limits)
        : owner(owner_loop), handler(request_handler), limits(initial_limits)
    {
    }

    /// Closes connections until `max_held_bytes` are met: those whose callers have made the least
    /// progress for the longest first, so that neither new nor large answers of callers that read
    /// are lost to callers that don't.
    void bound_held_bytes();

    event_loop& owner;
    http_handler& handler;
    http_server_limits limits;
    /// Answers close their connections, and new connections are still accepted.
    bool draining = false;
    http_server_counters counters;
    /// Bytes of request bodies.
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
    /// Resets the connection and releases what it holds: its caller doesn't take its answers.
    void give_up(give_up_reason reason);
    held_answers const& held() const { return held_; }

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
        /// Part of `http_server_state::buffered_bytes`, until the request is answered.
        std::size_t body_bytes = 0;
        /// Part of `held_`, until the answer is written.
        std::size_t answer_bytes = 0;
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
    /// Whether one more answer, as large as the largest so far, would fit beside those that are
    /// held or due.
    bool has_room_for_answer() const;
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
    void write_some();
    void on_some_written(boost::system::error_code code, std::size_t bytes);
    void on_written(boost::system::error_code code);
    /// Bounds what the kernel holds for a caller that doesn't read.
    void bound_unsent_bytes();
    void watch_progress();
    void on_progress_check();
    void write_continue();
    void linger();
    void close();
    void abandon_all();
    void release_body(slot& item);
    void release_answer(slot& item);
    /// Address of the caller, for log lines; empty once the connection has ended.
    std::string peer() const;
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
    /// When the caller must have taken more of the answer that is being written.
    instant progress_deadline_ = instant::max();
    bool write_timer_runs_ = false;
    /// Bytes that the kernel held for the caller at the last check.
    std::size_t unacknowledged_bytes_ = 0;
    bool unsent_bytes_bounded_ = false;
    boost::beast::flat_buffer buffer_;
    std::optional<parser> parser_;
    /// When the current request's first byte arrived, or its head ended.
    instant stage_start_;
    /// When the last bytes reached this host.
    instant arrived_at_;
    std::size_t body_reserved_ = 0;
    bool continue_due_ = false;
    std::deque<std::shared_ptr<slot>> slots_;
    held_answers held_;
    std::size_t largest_answer_ = 0;
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> outgoing_;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::string_body>>
        serializer_;
    phase phase_ = phase::serving;
    bool reading_ = false;
    bool writing_ = false;
    bool answered_any_ = false;
    std::size_t dropped_bytes_ = 0;
};

} // namespace guavashed
