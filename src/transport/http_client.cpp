// Implements http_client with Beast: one exchange object per call.
#include "transport/http_client.hpp"

#include "base/endpoint.hpp"
#include "base/log.hpp"
#include "transport/connection_pool.hpp"
#include "transport/transfer_progress.hpp"
#include "transport/upstream_answer.hpp"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <limits>
#include <tuple>
#include <unordered_map>

namespace guavashed
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

/// Interim answers (1xx) that may precede an answer.
constexpr int max_interim_answers = 8;
/// An upstream that has sent less than a step of its answer for this long counts as stalled. Those
/// that send at the rate of a slow link (16 KB/s and more) don't.
constexpr milliseconds stall_time{1000};

} // namespace

class http_client::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(event_loop& owner, std::size_t max_buffered_bytes)
        : context_(owner.context()), max_buffered_bytes_(max_buffered_bytes)
    {
    }

    class exchange;

    /// Ends calls while all together hold too much. Neither a stalled upstream nor bytes without
    /// end may cost the answers of other calls.
    void bound_buffered();

    asio::io_context& context_;
    std::size_t const max_buffered_bytes_;
    /// Memory that unfinished answers take: their bodies, and bytes read ahead of the parser.
    std::size_t buffered_bytes_ = 0;
    connection_pool pool_;
    std::unordered_map<http_call_id, std::weak_ptr<exchange>> running_;
    http_call_id last_id_ = 0;
    std::uint64_t opened_ = 0;
    std::uint64_t given_up_for_memory_ = 0;
};

/// One call on one connection.
class http_client::implementation::exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(std::shared_ptr<implementation> client, http_call_id id, http_call call, done on_done)
        : client_(std::move(client)), id_(id), call_(std::move(call)), on_done_(std::move(on_done))
    {
    }

    void start()
    {
        build_message();
        if (!call_.fresh_connection)
            connection_ = client_->pool_.take(call_.endpoint, call_.idle_since, id_hash());
        if (connection_)
            return write();
        connect();
    }

    void cancel()
    {
        if (connection_)
            connection_->stream.close();
    }

    std::size_t buffered_bytes() const { return buffered_bytes_; }
    /// Sorts by who is to be ended first when memory is short: the lowest first.
    std::tuple<int, std::size_t, instant> worth(instant now) const
    {
        instant const last_step = progress_.last_step();
        if (last_step + stall_time < now)
            return {0, 0, last_step};
        if (!parser_->content_length())
            return {1, std::numeric_limits<std::size_t>::max() - buffered_bytes_, last_step};
        return {2, 0, last_step};
    }

    /// Ends the call because its answer takes the memory of others. Its body is freed at once: the
    /// cancelled read ends after all reads that are ready now, each of which may take more.
    void end_as_oversized()
    {
        std::string const body = std::exchange(parser_->get().body(), {});
        oversized_ = fail(error_code::invalid_request, "read answer", call_.endpoint.value(),
                          "unfinished after " + std::to_string(body.size()) +
                              " bytes, while unfinished answers may hold " +
                              std::to_string(client_->max_buffered_bytes_));
        ++client_->given_up_for_memory_;
        instant const now = instant::clock::now();
        log_change(log_level::warning, "upstream_given_up",
                   "peer=" + call_.endpoint.value() + " id=" + call_.expected_id +
                       " held_bytes=" + std::to_string(buffered_bytes_) + " silent_for_ms=" +
                       std::to_string(remaining_ms(now, progress_.last_byte())) +
                       " host_held_bytes=" + std::to_string(client_->buffered_bytes_));
        client_->buffered_bytes_ -= std::exchange(buffered_bytes_, 0);
        cancel();
    }

private:
    std::size_t id_hash() const { return std::hash<std::string>()(call_.expected_id); }

    void build_message()
    {
        message_.method_string(call_.request.method);
        message_.target(call_.request.target);
        message_.version(11);
        if (call_.request.field("Host").empty())
            message_.set(http::field::host, call_.endpoint.value());
        for (auto const& field : call_.request.fields)
            message_.insert(field.name, field.value);
        message_.body() = std::move(call_.request.body);
        message_.prepare_payload();
    }

    void connect()
    {
        auto const endpoint = parse_endpoint(call_.endpoint);
        if (!endpoint)
            return finish_failed(send_stage::unsent, endpoint.error());
        connection_ = std::make_unique<upstream_connection>(client_->context_);
        ++client_->opened_;
        instant const connect_start = instant::clock::now();
        connection_->stream.expires_at(timer_point(std::min(call_.connect_by, call_.deadline)));
        connection_->stream.async_connect(
            endpoint.value(),
            [self = shared_from_this(), connect_start](beast::error_code code)
            {
                self->connected_in_ = instant::clock::now() - connect_start;
                self->on_connect(code);
            });
    }

    void on_connect(beast::error_code code)
    {
        if (code)
            connected_in_.reset();
        if (code)
            return finish_failed(send_stage::unsent, step_error("connect", code));
        beast::error_code ignored;
        connection_->stream.socket().set_option(tcp::no_delay(true), ignored);
        // Closing resets the connection, so that no part of an abandoned request is retransmitted
        // and executed when a cut link recovers. An answered call has nothing left to lose.
        connection_->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        write();
    }

    void write()
    {
        // The process may have been paused since the decision to send.
        if (instant::clock::now() > call_.send_by)
            return finish_failed(send_stage::unsent,
                                 fail(error_code::expired, "send", call_.endpoint.value(),
                                      "send-by time has passed; nothing was sent"));
        connection_->stream.expires_at(timer_point(call_.deadline));
        if (!call_.expected_id.empty())
            connection_->carried_ids.push_back(id_hash());
        http::async_write(connection_->stream, message_,
                          [self = shared_from_this()](beast::error_code code, std::size_t)
                          {
                              // An upstream may answer and close before it has read the whole
                              // request, so the answer is read even after a failed send.
                              self->send_failed_ = code;
                              self->read();
                          });
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(max_response_bytes);
        parser_->skip(call_.request.method == "HEAD");
        progress_.start(instant::clock::now());
        read_some();
    }

    void read_some()
    {
        http::async_read_some(connection_->stream, connection_->buffer, *parser_,
                              [self = shared_from_this()](beast::error_code code, std::size_t bytes)
                              { self->on_some(code, bytes); });
    }

    void on_some(beast::error_code code, std::size_t bytes)
    {
        if (code)
            return on_read(code);
        if (parser_->is_header_done() && !has_known_status(parser_->get().result_int()))
            return finish_failed(send_stage::sent,
                                 fail(error_code::invalid_request, "read answer",
                                      call_.endpoint.value(),
                                      "status " + std::to_string(parser_->get().result_int()) +
                                          " is not one of a response"));
        if (!parser_->is_done())
        {
            progress_.add(bytes, instant::clock::now());
            count_buffered(0);
            make_room();
            return read_some();
        }
        bool const interim = parser_->get().result_int() / 100 == 1;
        if (!interim)
            return on_read(code);
        // No request asks for a switch of protocols, so 101 is no answer to it.
        if (parser_->get().result() == http::status::switching_protocols ||
            ++interim_answers_ > max_interim_answers)
            return finish_failed(
                send_stage::sent,
                fail(error_code::invalid_request, "read answer", call_.endpoint.value(),
                     "interim status " + std::to_string(parser_->get().result_int()) + " after " +
                         std::to_string(interim_answers_) + " interim answers"));
        read();
    }

    /// Counts what the answer holds, and `further` bytes that it is about to take; this may end the
    /// call.
    void count_buffered(std::size_t further)
    {
        if (oversized_)
            return;
        std::size_t const held =
            parser_->get().body().capacity() + connection_->buffer.capacity() + further;
        client_->buffered_bytes_ += held - std::exchange(buffered_bytes_, held);
        client_->bound_buffered();
    }

    /// Makes room in a large body of unknown length for the next read, once it is counted.
    void make_room()
    {
        std::string& body = parser_->get().body();
        if (parser_->content_length())
            return;
        std::size_t const wanted = room_for_next_read(body.size(), body.capacity());
        if (wanted == 0)
            return;
        count_buffered(wanted);
        if (oversized_)
            return;
        std::string larger;
        larger.reserve(wanted);
        larger.append(body);
        body = std::move(larger);
        count_buffered(0);
    }

    void on_read(beast::error_code code)
    {
        // The failed send has taken the connection's error: a reset then reads like the end of the
        // connection, which is all that ends an answer without a length.
        if (send_failed_ && (code || parser_->need_eof()))
            return finish_failed(send_stage::sent, step_error("send", send_failed_));
        if (oversized_)
            return finish_failed(send_stage::sent, *oversized_);
        if (code)
            return finish_failed(send_stage::sent, step_error("read answer", code));
        if (!has_known_coding(parser_->get()))
            return finish_failed(send_stage::sent,
                                 fail(error_code::invalid_request, "read answer",
                                      call_.endpoint.value(),
                                      "its transfer coding is not chunked alone"));
        bool const reusable =
            parser_->get().keep_alive() && connection_->buffer.size() == 0 && !send_failed_;
        connection_->learn_idle_timeout(parser_->get()["Keep-Alive"]);
        http_outcome outcome;
        outcome.stage = send_stage::sent;
        outcome.surplus_bytes = connection_->buffer.size();
        outcome.response = to_http_response(parser_->release());
        if (!call_.expected_id.empty() &&
            outcome.response->field(call_.id_field) != call_.expected_id)
            return finish_failed(send_stage::sent,
                                 fail(error_code::invalid_request, "read answer",
                                      call_.endpoint.value(),
                                      "the answer does not carry the id of the request"));
        if (reusable)
            client_->pool_.keep(call_.endpoint, std::move(connection_));
        finish(std::move(outcome));
    }

    error step_error(char const* step, beast::error_code code) const
    {
        auto const kind =
            code == beast::error::timeout ? error_code::timeout : error_code::io_failure;
        return fail(kind, step, call_.endpoint.value(), code.message());
    }

    void finish_failed(send_stage stage, error cause)
    {
        http_outcome outcome;
        outcome.stage = stage;
        outcome.cause = std::move(cause);
        finish(std::move(outcome));
    }

    void finish(http_outcome outcome)
    {
        outcome.connected_in = connected_in_;
        client_->buffered_bytes_ -= std::exchange(buffered_bytes_, 0);
        connection_.reset();
        client_->running_.erase(id_);
        asio::post(client_->context_,
                   [on_done = std::move(on_done_), outcome = std::move(outcome)]() mutable
                   { on_done(std::move(outcome)); });
    }

    std::shared_ptr<implementation> client_;
    http_call_id id_;
    http_call call_;
    done on_done_;
    upstream_connection_ptr connection_;
    beast::error_code send_failed_;
    std::optional<std::chrono::nanoseconds> connected_in_;
    http::request<http::string_body> message_;
    std::optional<http::response_parser<http::string_body>> parser_;
    int interim_answers_ = 0;
    /// Part of the client's buffered bytes.
    std::size_t buffered_bytes_ = 0;
    transfer_progress progress_;
    /// Set once the call was ended for its memory.
    std::optional<error> oversized_;
};

void http_client::implementation::bound_buffered()
{
    instant const now = instant::clock::now();
    while (buffered_bytes_ > max_buffered_bytes_)
    {
        std::shared_ptr<exchange> least;
        for (auto const& [id, item] : running_)
        {
            auto const call = item.lock();
            if (call && call->buffered_bytes() > 0 &&
                (!least || call->worth(now) < least->worth(now)))
                least = call;
        }
        if (!least)
            return;
        least->end_as_oversized();
    }
}

http_client::http_client(event_loop& owner, std::size_t max_buffered_bytes)
    : implementation_(std::make_shared<implementation>(owner, max_buffered_bytes))
{
}

http_client::~http_client() = default;

http_call_id http_client::start(http_call call, done on_done)
{
    http_call_id const id = ++implementation_->last_id_;
    auto const item = std::make_shared<implementation::exchange>(
        implementation_, id, std::move(call), std::move(on_done));
    implementation_->running_[id] = item;
    item->start();
    return id;
}

void http_client::cancel(http_call_id id)
{
    auto const found = implementation_->running_.find(id);
    if (found == implementation_->running_.end())
        return;
    if (auto const item = found->second.lock())
        item->cancel();
}

std::uint64_t http_client::connections_opened() const
{
    return implementation_->opened_;
}

std::size_t http_client::buffered_bytes() const
{
    return implementation_->buffered_bytes_;
}

std::uint64_t http_client::given_up_for_memory() const
{
    return implementation_->given_up_for_memory_;
}

} // namespace guavashed
