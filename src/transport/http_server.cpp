// Implements http_server with Beast: one session object per connection, one exchange per request.
#include "transport/http_server.hpp"

#include "base/endpoint.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

namespace guavashed
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

/// Pause after a failed accept, for example when the process is out of file descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{20};

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

class http_server::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(event_loop& owner, http_handler& handler, http_server_limits limits)
        : owner_(owner), handler_(handler), limits_(limits), acceptor_(owner.context()),
          retry_(owner.context())
    {
    }

    result<void> listen(endpoint_text const& where)
    {
        BOOST_OUTCOME_TRY(listen_on(acceptor_, where));
        accept();
        return boost::outcome_v2::success();
    }

    void drain()
    {
        asio::post(owner_.context(), [self = shared_from_this()] { self->closing_ = true; });
    }

    void close()
    {
        asio::post(owner_.context(),
                   [self = shared_from_this()]
                   {
                       self->closing_ = true;
                       boost::system::error_code ignored;
                       self->acceptor_.close(ignored);
                   });
    }

    class session;

    event_loop& owner_;
    http_handler& handler_;
    http_server_limits limits_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    bool closing_ = false;
    http_server_counters counters_;

private:
    void accept();
    void retry_accept();
};

/// One connection: reads a request, waits for its answer, writes it, repeats.
class http_server::implementation::session : public std::enable_shared_from_this<session>
{
public:
    session(std::shared_ptr<implementation> server, tcp::socket socket)
        : server_(std::move(server)), stream_(std::move(socket))
    {
        ++server_->counters_.open;
    }
    session(session const&) = delete;
    session& operator=(session const&) = delete;
    ~session() { --server_->counters_.open; }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(server_->limits_.max_header_bytes));
        parser_->body_limit(server_->limits_.max_body_bytes);
        stream_.expires_after(server_->limits_.idle_timeout);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](beast::error_code code, std::size_t)
                         { self->on_read(code); });
    }

private:
    class exchange;

    void on_read(beast::error_code code);
    void watch_for_disconnect();
    void write(http_response&& response);
    void write_bad_request(beast::error_code reason);

    std::shared_ptr<implementation> server_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<http::response<http::string_body>> response_;
    std::weak_ptr<exchange> current_;
    bool keep_alive_ = true;
    bool head_ = false;
    bool answer_pending_ = false;
};

class http_server::implementation::session::exchange : public http_exchange,
                                                       public std::enable_shared_from_this<exchange>
{
public:
    explicit exchange(std::shared_ptr<session> owner) : session_(std::move(owner)) {}

    void respond(http_response response) override
    {
        if (answered_.exchange(true))
            return;
        asio::dispatch(session_->server_->owner_.context(),
                       [self = shared_from_this(), response = std::move(response)]() mutable
                       {
                           // The action may own this exchange; clearing it breaks the cycle.
                           self->action_ = nullptr;
                           if (!self->abandoned_)
                               self->session_->write(std::move(response));
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
    std::shared_ptr<session> session_;
    std::function<void()> action_;
    std::atomic<bool> answered_{false};
    std::atomic<bool> abandoned_{false};
};

void http_server::implementation::session::on_read(beast::error_code code)
{
    if (code == http::error::end_of_stream || code == asio::error::operation_aborted)
        return;
    if (code)
    {
        if (code.category() == make_error_code(http::error::bad_method).category())
        {
            ++server_->counters_.bad_requests;
            write_bad_request(code);
        }
        return;
    }
    keep_alive_ = parser_->get().keep_alive() && !server_->closing_;
    head_ = parser_->get().method() == http::verb::head;
    stream_.expires_never();
    answer_pending_ = true;
    auto current = std::make_shared<exchange>(shared_from_this());
    current_ = current;
    watch_for_disconnect();
    server_->handler_.on_request(to_http_request(parser_->release()), std::move(current));
}

void http_server::implementation::session::watch_for_disconnect()
{
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](beast::error_code code)
        {
            if (!self->answer_pending_)
                return;
            char byte = 0;
            beast::error_code peeked;
            self->stream_.socket().non_blocking(true, peeked);
            if (!code)
                self->stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                                               peeked);
            bool const gone = code || (peeked && peeked != asio::error::would_block);
            auto const current = self->current_.lock();
            if (gone && current)
                current->abandon();
        });
}

void http_server::implementation::session::write(http_response&& response)
{
    answer_pending_ = false;
    beast::error_code ignored;
    response_.emplace();
    response_->version(11);
    response_->result(response.status);
    for (auto const& field : response.fields)
        response_->insert(field.name, field.value);
    response_->keep_alive(keep_alive_ && !server_->closing_);
    response_->body() = std::move(response.body);
    // The answer to HEAD carries the Content-Length of the body that it omits.
    if (!head_ || response_->find(http::field::content_length) == response_->end())
        response_->prepare_payload();
    stream_.expires_after(server_->limits_.idle_timeout);
    http::async_write(stream_, *response_,
                      [self = shared_from_this()](beast::error_code code, std::size_t)
                      {
                          if (code)
                              return;
                          if (self->response_->keep_alive())
                              return self->read();
                          beast::error_code late;
                          self->stream_.socket().shutdown(tcp::socket::shutdown_send, late);
                      });
}

void http_server::implementation::session::write_bad_request(beast::error_code reason)
{
    unsigned status = 400;
    if (reason == http::error::header_limit)
        status = 431;
    if (reason == http::error::body_limit)
        status = 413;
    keep_alive_ = false;
    write(
        json_response(status, "{\"error\":\"malformed HTTP request: " + reason.message() + "\"}"));
}

void http_server::implementation::accept()
{
    acceptor_.async_accept(
        [self = shared_from_this()](boost::system::error_code code, tcp::socket socket)
        {
            if (!self->acceptor_.is_open())
                return;
            if (code)
                return self->retry_accept();
            if (self->counters_.open >= self->limits_.max_connections)
                ++self->counters_.refused_connections;
            else
            {
                ++self->counters_.accepted;
                boost::system::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<session>(self, std::move(socket))->read();
            }
            self->accept();
        });
}

void http_server::implementation::retry_accept()
{
    retry_.expires_after(accept_retry_delay);
    retry_.async_wait([self = shared_from_this()](boost::system::error_code) { self->accept(); });
}

http_server::http_server(event_loop& owner, http_handler& handler, http_server_limits limits)
    : implementation_(std::make_shared<implementation>(owner, handler, limits))
{
}

http_server::~http_server() = default;

result<void> http_server::listen(endpoint_text const& where)
{
    return implementation_->listen(where);
}

void http_server::set_limits(http_server_limits limits)
{
    implementation_->limits_ = limits;
}

void http_server::drain()
{
    implementation_->drain();
}

void http_server::close()
{
    implementation_->close();
}

http_server_counters const& http_server::counters() const
{
    return implementation_->counters_;
}

} // namespace guavashed
