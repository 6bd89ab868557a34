// Implements the lifetime of one caller connection, and the running and answering of its requests.
#include "transport/http_session.hpp"

#include "base/log.hpp"

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

/// How long a connection stays readable after its last answer.
constexpr milliseconds linger_timeout{2000};
/// Retry-After of requests that don't fit into memory, in seconds.
constexpr char const* full_retry_after = "1";

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
      write_timer_(server_->owner.context()), held_(server_->counters.held_bytes)
{
    ++server_->counters.open;
    server_->sessions.insert(this);
}

http_session::~http_session()
{
    for (auto const& item : slots_)
        release_body(*item);
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
    release_body(*item);
    item->answer_bytes = response.body.capacity();
    // Falls slowly, so that one large answer doesn't keep later requests apart for good.
    largest_answer_ = std::max(item->answer_bytes, largest_answer_ - largest_answer_ / 8);
    held_.add(item->answer_bytes, instant::clock::now());
    item->response = std::move(response);
    write_next();
    if (server_->counters.held_bytes > server_->limits.max_held_bytes)
        // Closing other connections abandons their requests, which the handler that answers this
        // one may be going through.
        asio::post(server_->owner.context(), [server = server_] { server->bound_held_bytes(); });
}

void http_session::reject(unsigned status, std::string_view reason)
{
    ++server_->counters.bad_requests;
    log_request("request_rejected", "status=" + std::to_string(status) + " peer=" + peer() +
                                        " unanswered=" + std::to_string(slots_.size()) +
                                        " answered_any=" + (answered_any_ ? "1" : "0") +
                                        " reason=\"" + std::string(reason) + "\"");
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
    // The answer that is being written is kept by `abandon_all`.
    for (auto const& item : slots_)
        release_answer(*item);
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
        release_body(*items[at]);
        release_answer(*items[at]);
        if (auto const current = items[at]->running.lock(); current && !items[at]->response)
            current->abandon();
    }
    slots_.erase(slots_.begin() + static_cast<std::ptrdiff_t>(std::min(kept, slots_.size())),
                 slots_.end());
}

void http_session::release_body(slot& item)
{
    server_->buffered_bytes -= std::exchange(item.body_bytes, 0);
}

void http_session::release_answer(slot& item)
{
    held_.release(std::exchange(item.answer_bytes, 0));
}

std::string http_session::peer() const
{
    beast::error_code code;
    auto const from = socket_.remote_endpoint(code);
    return code ? "" : from.address().to_string() + ":" + std::to_string(from.port());
}

} // namespace guavashed
