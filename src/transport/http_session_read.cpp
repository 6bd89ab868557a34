// Implements the reading of one caller connection: requests, their limits and their deadlines.
#include "base/log.hpp"
#include "transport/http_session.hpp"
#include "transport/request_head.hpp"

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace guavashed
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr std::size_t read_chunk_bytes = 8 * 1024;
/// Requests of one connection that are read before the first of them is answered.
constexpr std::size_t max_pipelined = 8;
/// Bytes read ahead of the request that is being served.
constexpr std::size_t max_ahead_bytes = 64 * 1024;
/// Bytes that are read and dropped after the last request.
constexpr std::size_t max_dropped_bytes = 1024 * 1024;

http_request to_http_request(http::request<http::string_body>&& message)
{
    http_request out;
    out.method = std::string(message.method_string());
    out.target = std::string(message.target());
    for (auto const& field : message)
        out.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    out.body = std::move(message.body());
    return out;
}

/// When the kernel received the last bytes that wait in the socket: earlier than now when this
/// process was paused.
instant arrival_of(asio::ip::tcp::socket& socket)
{
    instant const now = instant::clock::now();
    tcp_info info = {};
    socklen_t length = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
        return now;
    return now - milliseconds(info.tcpi_last_data_recv);
}

} // namespace

void http_session::read()
{
    bool const full =
        phase_ != phase::lingering && buffer_.size() >= max_ahead_bytes && !can_take_request();
    if (reading_ || full || phase_ == phase::closed)
        return;
    reading_ = true;
    // Waits before it reads: an idle connection holds no buffer, and the bytes that have arrived
    // can be parsed meanwhile.
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](beast::error_code code)
                       { self->on_readable(code); });
}

void http_session::on_readable(beast::error_code code)
{
    reading_ = false;
    if (phase_ == phase::closed)
        return;
    bool const stamps_arrivals = server_->limits.stamps_arrivals;
    if (stamps_arrivals)
        arrived_at_ = arrival_of(socket_);
    std::size_t const count = code ? 0 : socket_.read_some(buffer_.prepare(read_chunk_bytes), code);
    if (code == asio::error::would_block)
        return read();
    if (code)
        return on_peer_closed();
    if (phase_ == phase::lingering || phase_ == phase::finishing)
    {
        dropped_bytes_ += count;
        if (dropped_bytes_ > max_dropped_bytes)
            return phase_ == phase::lingering ? close() : void();
        return read();
    }
    buffer_.commit(count);
    if (stamps_arrivals && has_peer_closed())
    {
        log_request("request_dropped",
                    "bytes=" + std::to_string(buffer_.size()) + " age_ms=" +
                        std::to_string(remaining_ms(instant::clock::now(), arrived_at_)) +
                        " reason=\"its caller has closed the connection\"");
        return on_peer_closed();
    }
    parse();
    read();
}

bool http_session::has_peer_closed()
{
    char byte = 0;
    beast::error_code code;
    std::size_t const count =
        socket_.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, code);
    return code != asio::error::would_block && (code || count == 0);
}

void http_session::on_peer_closed()
{
    abandon_all();
    // An answer on its way is still written; the peer may have closed its sending side only.
    if (!writing_)
        close();
    else
        phase_ = phase::finishing;
}

bool http_session::can_take_request() const
{
    if (phase_ != phase::serving || slots_.size() >= max_pipelined)
        return false;
    // A request that may not overlap is alone on its connection until its answer is written.
    return slots_.empty() || (slots_.back()->overlaps && has_room_for_answer());
}

bool http_session::has_room_for_answer() const
{
    auto const due = static_cast<std::size_t>(std::count_if(slots_.begin(), slots_.end(),
                                                            [](std::shared_ptr<slot> const& item)
                                                            { return !item->response; }));
    return held_.bytes() + (due + 1) * largest_answer_ <= server_->limits.max_connection_held_bytes;
}

void http_session::parse()
{
    // A request that has begun is read to its end: its deadline runs.
    while (((phase_ == phase::serving && parser_) || can_take_request()) && parse_one())
        take_request();
    update_read_deadline();
}

bool http_session::parse_one()
{
    if (!parser_)
    {
        // Empty lines before a request are allowed.
        while (buffer_.size() >= 2 &&
               std::string_view(static_cast<char const*>(buffer_.data().data()), 2) == "\r\n")
            buffer_.consume(2);
        if (buffer_.size() == 0)
            return false;
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(server_->limits.max_header_bytes));
        parser_->body_limit(server_->limits.max_body_bytes);
        parser_->eager(false);
        stage_start_ = instant::clock::now();
    }
    if (!parser_->is_header_done() && !parse_head())
        return false;
    return parse_body();
}

bool http_session::parse_head()
{
    std::string_view const bytes(static_cast<char const*>(buffer_.data().data()), buffer_.size());
    head_check const check = check_request_head(bytes, server_->limits.max_header_bytes);
    if (check.verdict == head_verdict::incomplete)
        return false;
    if (check.verdict == head_verdict::too_large)
        return reject(431, "the head is too large"), false;
    if (check.verdict == head_verdict::malformed)
        return reject(400, check.reason), false;
    beast::error_code code;
    buffer_.consume(parser_->put(buffer_.data(), code));
    if (code == http::error::body_limit)
        return reject(413, "the body is too large"), false;
    if (code && code != http::error::need_more)
        return reject(400, code.message()), false;
    if (parser_->get().method() == http::verb::connect)
        return reject(501, "CONNECT is not supported"), false;
    bool const has_body = parser_->chunked() || parser_->content_length().value_or(0) > 0;
    if (parser_->get().method() == http::verb::trace && has_body)
        return reject(400, "TRACE has no body"), false;
    parser_->eager(true);
    stage_start_ = instant::clock::now();
    continue_due_ = beast::iequals(parser_->get()[http::field::expect], "100-continue");
    return true;
}

bool http_session::parse_body()
{
    while (!parser_->is_done() && buffer_.size() > 0)
    {
        beast::error_code code;
        buffer_.consume(parser_->put(buffer_.data(), code));
        if (code == http::error::need_more)
            break;
        if (code == http::error::body_limit)
            return reject(413, "the body is too large"), false;
        if (code)
            return reject(400, code.message()), false;
    }
    // The parser leaves a chunk size line or a trailer in the buffer until it is complete.
    if (!parser_->is_done() && buffer_.size() > server_->limits.max_header_bytes)
        return reject(431, "a chunk size line or a trailer is too long"), false;
    if (!reserve_body())
        return false;
    if (!parser_->is_done())
        write_continue();
    return parser_->is_done();
}

bool http_session::reserve_body()
{
    std::size_t const size =
        std::max<std::size_t>(parser_->content_length().value_or(0), parser_->get().body().size());
    if (size <= body_reserved_)
        return true;
    if (server_->buffered_bytes + size - body_reserved_ > server_->limits.max_buffered_bytes)
    {
        ++server_->counters.refused_for_memory;
        reject(503, "too many bytes of other requests are held");
        return false;
    }
    server_->buffered_bytes += size - body_reserved_;
    body_reserved_ = size;
    return true;
}

void http_session::take_request()
{
    auto item = std::make_shared<slot>();
    auto const& head = parser_->get();
    item->keep_alive = head.keep_alive();
    item->is_head = head.method() == http::verb::head;
    item->body_bytes = std::exchange(body_reserved_, 0);
    item->waiting = to_http_request(parser_->release());
    item->waiting->arrived_at = arrived_at_;
    parser_.reset();
    continue_due_ = false;
    bool const has_memory = server_->buffered_bytes < server_->limits.max_buffered_bytes / 2;
    item->overlaps = has_memory && server_->handler.may_overlap(*item->waiting);
    if (!item->keep_alive)
        phase_ = phase::finishing;
    slots_.push_back(item);
    // A request behind others was only taken because those overlap; it runs with them or alone.
    if (slots_.size() == 1 || item->overlaps)
        run(item);
}

void http_session::update_read_deadline()
{
    if (phase_ != phase::serving)
        return;
    auto const& limits = server_->limits;
    if (parser_ && !parser_->is_header_done())
        read_deadline_ = stage_start_ + limits.header_timeout;
    else if (parser_)
        read_deadline_ = stage_start_ + limits.idle_timeout;
    else
        read_deadline_ =
            slots_.empty() ? instant::clock::now() + limits.idle_timeout : instant::max();
    wait_for_read_deadline();
}

void http_session::wait_for_read_deadline()
{
    // A deadline that moves back is noticed when the timer fires, which saves a wake-up of the
    // timer for each request.
    if (read_deadline_ == instant::max())
        return;
    if (read_timer_runs_ && timer_point(read_deadline_) >= read_timer_.expiry())
        return;
    read_timer_runs_ = true;
    read_timer_.expires_at(timer_point(read_deadline_));
    read_timer_.async_wait(
        [self = shared_from_this()](beast::error_code code)
        {
            if (code)
                return;
            self->read_timer_runs_ = false;
            if (instant::clock::now() >= self->read_deadline_)
                self->on_read_deadline();
            else if (self->phase_ != phase::closed)
                self->wait_for_read_deadline();
        });
}

void http_session::on_read_deadline()
{
    if (phase_ == phase::closed)
        return;
    if (phase_ == phase::serving && parser_)
        return reject(408, "the request did not arrive in time");
    if (phase_ == phase::serving && !slots_.empty())
        return;
    if (phase_ == phase::serving)
        return linger();
    if (phase_ == phase::lingering)
        close();
}

} // namespace guavashed
