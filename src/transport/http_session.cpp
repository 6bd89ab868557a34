// Implements the reading, ordering and writing of one caller connection.
#include "transport/http_session.hpp"

#include "base/log.hpp"
#include "transport/request_head.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <exception>
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
/// How long a connection stays readable after its last answer, and how much is read meanwhile.
constexpr milliseconds linger_timeout{2000};
constexpr std::size_t max_dropped_bytes = 1024 * 1024;
/// Retry-After of requests that don't fit into memory, in seconds.
constexpr char const* full_retry_after = "1";

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

} // namespace

class http_session::exchange : public http_exchange, public std::enable_shared_from_this<exchange>
{
public:
    exchange(std::shared_ptr<http_session> owner, std::shared_ptr<slot> item)
        : session_(std::move(owner)), item_(std::move(item))
    {
    }
    exchange(exchange const&) = delete;
    exchange& operator=(exchange const&) = delete;

    /// A handler that drops its request, for example in an exception, still ends it.
    ~exchange() override
    {
        auto& context = session_->server_->owner.context();
        if (answered_ || abandoned_ || context.stopped())
            return;
        asio::post(context,
                   [session = session_, item = item_] {
                       session->set_response(
                           item, json_response(500, R"({"error":"the request was dropped"})"));
                   });
    }

    void respond(http_response response) override
    {
        if (answered_.exchange(true))
            return;
        asio::dispatch(session_->server_->owner.context(),
                       [self = shared_from_this(), response = std::move(response)]() mutable
                       {
                           // The action may own this exchange; clearing it breaks the cycle.
                           self->action_ = nullptr;
                           if (!self->abandoned_)
                               self->session_->set_response(self->item_, std::move(response));
                       });
    }
    bool abandoned() const override { return abandoned_; }
    void when_abandoned(std::function<void()> action) override { action_ = std::move(action); }

    void abandon()
    {
        abandoned_ = true;
        auto const action = std::exchange(action_, nullptr);
        if (action && !answered_)
            action();
    }

private:
    std::shared_ptr<http_session> session_;
    std::shared_ptr<slot> item_;
    std::function<void()> action_;
    std::atomic<bool> answered_{false};
    std::atomic<bool> abandoned_{false};
};

http_session::http_session(std::shared_ptr<http_server_state> server, asio::ip::tcp::socket socket)
    : server_(std::move(server)), socket_(std::move(socket)), read_timer_(server_->owner.context()),
      write_timer_(server_->owner.context())
{
    ++server_->counters.open;
    server_->sessions.insert(this);
}

http_session::~http_session()
{
    for (auto const& item : slots_)
        release_buffered(*item);
    server_->buffered_bytes -= body_reserved_;
    server_->sessions.erase(this);
    --server_->counters.open;
}

void http_session::start()
{
    beast::error_code ignored;
    socket_.non_blocking(true, ignored);
    update_read_deadline();
    read();
}

void http_session::close_if_idle()
{
    bool const is_idle = slots_.empty() && !writing_ && buffer_.size() == 0 && !parser_;
    if (phase_ == phase::serving && is_idle && answered_any_)
        linger();
}

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
    parse();
    read();
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
    return slots_.empty() || slots_.back()->overlaps;
}

void http_session::parse()
{
    while (can_take_request() && parse_one())
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
    item->buffered = std::exchange(body_reserved_, 0);
    item->waiting = to_http_request(parser_->release());
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

void http_session::run(std::shared_ptr<slot> const& item)
{
    auto current = std::make_shared<exchange>(shared_from_this(), item);
    item->running = current;
    http_request request = std::move(*item->waiting);
    item->waiting.reset();
    std::string const what = request.method + " " + std::string(path_of(request.target));
    try
    {
        server_->handler.on_request(std::move(request), current);
    }
    catch (std::exception const& failure)
    {
        ++server_->counters.handler_failures;
        log_change(log_level::error, "request_handler_failed",
                   "request=\"" + what + "\" reason=\"" + failure.what() + "\"");
        current->respond(json_response(500, R"({"error":"internal error"})"));
    }
}

void http_session::set_response(std::shared_ptr<slot> const& item, http_response&& response)
{
    if (phase_ == phase::closed || item->response)
        return;
    add_buffered(*item, response.body.size());
    item->response = std::move(response);
    write_next();
}

void http_session::reject(unsigned status, std::string_view reason)
{
    ++server_->counters.bad_requests;
    parser_.reset();
    server_->buffered_bytes -= std::exchange(body_reserved_, 0);
    phase_ = phase::finishing;
    buffer_.consume(buffer_.size());
    auto item = std::make_shared<slot>();
    item->keep_alive = false;
    http_response response =
        json_response(status, R"({"error":"request rejected: )" + std::string(reason) + "\"}");
    if (status == 503)
        response.fields.push_back({"Retry-After", full_retry_after});
    item->response = std::move(response);
    slots_.push_back(std::move(item));
    write_next();
}

void http_session::write_next()
{
    if (writing_ || slots_.empty() || !slots_.front()->response)
        return;
    slot& item = *slots_.front();
    // Requests behind an answer that closes the connection count as unread, so none of those
    // behind this one may have been passed on.
    bool const followed = slots_.size() > 1 && !slots_[1]->waiting;
    bool const keep = item.keep_alive && (followed || !server_->draining);
    if (!keep)
        phase_ = phase::finishing;
    outgoing_.emplace();
    outgoing_->version(11);
    outgoing_->result(item.response->status);
    for (auto const& field : item.response->fields)
        outgoing_->insert(field.name, field.value);
    outgoing_->keep_alive(keep);
    outgoing_->body() = std::move(item.response->body);
    // The answer to HEAD carries the Content-Length of the body that it omits.
    if (!item.is_head || outgoing_->find(http::field::content_length) == outgoing_->end())
        outgoing_->prepare_payload();
    writing_ = true;
    write_timer_.expires_at(timer_point(instant::clock::now() + server_->limits.idle_timeout));
    write_timer_.async_wait(
        [self = shared_from_this()](beast::error_code code)
        {
            if (!code)
                self->close();
        });
    http::async_write(socket_, *outgoing_,
                      [self = shared_from_this()](beast::error_code code, std::size_t)
                      { self->on_written(code); });
}

void http_session::on_written(beast::error_code code)
{
    writing_ = false;
    write_timer_.cancel();
    if (phase_ == phase::closed)
        return;
    if (code)
    {
        abandon_all();
        return close();
    }
    answered_any_ = true;
    bool const keep = outgoing_->keep_alive();
    outgoing_.reset();
    release_buffered(*slots_.front());
    slots_.pop_front();
    if (!keep)
        return linger();
    if (!slots_.empty() && slots_.front()->waiting)
        run(slots_.front());
    write_next();
    parse();
    read();
}

void http_session::write_continue()
{
    if (!continue_due_ || writing_ || !slots_.empty())
        return;
    continue_due_ = false;
    writing_ = true;
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(socket_, asio::buffer(interim),
                      [self = shared_from_this()](beast::error_code code, std::size_t)
                      {
                          self->writing_ = false;
                          if (code)
                              return self->close();
                          self->write_next();
                      });
}

void http_session::linger()
{
    phase_ = phase::lingering;
    abandon_all();
    beast::error_code code;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, code);
    if (code)
        return close();
    buffer_.consume(buffer_.size());
    read_deadline_ = instant::clock::now() + linger_timeout;
    wait_for_read_deadline();
    read();
}

void http_session::close()
{
    phase_ = phase::closed;
    read_deadline_ = instant::max();
    abandon_all();
    beast::error_code ignored;
    socket_.close(ignored);
    read_timer_.cancel();
    write_timer_.cancel();
}

void http_session::abandon_all()
{
    // An action may respond to another request of this connection.
    auto const items = slots_;
    std::size_t const kept = writing_ ? 1 : 0;
    for (std::size_t at = kept; at < items.size(); ++at)
    {
        release_buffered(*items[at]);
        if (auto const current = items[at]->running.lock(); current && !items[at]->response)
            current->abandon();
    }
    slots_.erase(slots_.begin() + static_cast<std::ptrdiff_t>(std::min(kept, slots_.size())),
                 slots_.end());
}

void http_session::add_buffered(slot& item, std::size_t bytes)
{
    item.buffered += bytes;
    server_->buffered_bytes += bytes;
}

void http_session::release_buffered(slot& item)
{
    server_->buffered_bytes -= std::exchange(item.buffered, 0);
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
