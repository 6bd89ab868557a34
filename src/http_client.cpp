#include "http_client.hpp"

#include "endpoint.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <unordered_map>

namespace guavashed
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::size_t max_response_bytes = 1024 * 1024;
constexpr std::size_t max_idle_per_endpoint = 32;
constexpr std::chrono::seconds max_idle_age{10};

struct connection
{
    explicit connection(asio::io_context& context) : stream(context) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    instant idle_until;
};

using connection_ptr = std::unique_ptr<connection>;

http_response plain_response(http::response<http::string_body>&& message)
{
    http_response out;
    out.status = message.result_int();
    for (auto const& field : message)
        out.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    out.body = std::move(message.body());
    return out;
}

} // namespace

class http_client::implementation : public std::enable_shared_from_this<implementation>
{
public:
    explicit implementation(duty& owner) : context_(owner.context()) {}

    class exchange;

    connection_ptr take_idle(endpoint_text const& endpoint)
    {
        auto& idle = idle_[endpoint];
        instant const now = instant::clock::now();
        while (!idle.empty())
        {
            connection_ptr candidate = std::move(idle.back());
            idle.pop_back();
            if (candidate->idle_until > now)
                return candidate;
        }
        return nullptr;
    }

    void keep(endpoint_text const& endpoint, connection_ptr item)
    {
        auto& idle = idle_[endpoint];
        if (idle.size() >= max_idle_per_endpoint)
            return;
        item->idle_until = instant::clock::now() + max_idle_age;
        item->stream.expires_never();
        idle.push_back(std::move(item));
    }

    asio::io_context& context_;
    std::unordered_map<endpoint_text, std::vector<connection_ptr>> idle_;
    std::unordered_map<http_call_id, std::weak_ptr<exchange>> running_;
    http_call_id last_id_ = 0;
    std::uint64_t opened_ = 0;
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
            connection_ = client_->take_idle(call_.endpoint);
        if (connection_)
            return write();
        connect();
    }

    void cancel()
    {
        if (connection_)
            connection_->stream.close();
    }

private:
    void build_message()
    {
        message_.method_string(call_.request.method);
        message_.target(call_.request.target);
        message_.version(11);
        message_.set(http::field::host, call_.endpoint.value());
        for (auto const& field : call_.request.fields)
            message_.set(field.name, field.value);
        message_.body() = std::move(call_.request.body);
        message_.prepare_payload();
    }

    void connect()
    {
        auto const endpoint = parse_endpoint(call_.endpoint);
        if (!endpoint)
            return finish_failed(send_stage::unsent, endpoint.error());
        connection_ = std::make_unique<connection>(client_->context_);
        ++client_->opened_;
        connection_->stream.expires_at(call_.deadline);
        connection_->stream.async_connect(endpoint.value(),
                                          [self = shared_from_this()](beast::error_code code)
                                          { self->on_connect(code); });
    }

    void on_connect(beast::error_code code)
    {
        if (code)
            return finish_failed(send_stage::unsent, step_error("connect", code));
        beast::error_code ignored;
        connection_->stream.socket().set_option(tcp::no_delay(true), ignored);
        write();
    }

    void write()
    {
        // The process may have stood still since the call was decided.
        if (instant::clock::now() > call_.send_by)
            return finish_failed(send_stage::unsent,
                                 fail(error_code::expired, "send", call_.endpoint.value(),
                                      "it is too late to send it"));
        connection_->stream.expires_at(call_.deadline);
        http::async_write(connection_->stream, message_,
                          [self = shared_from_this()](beast::error_code code, std::size_t)
                          {
                              if (code)
                                  return self->finish_failed(send_stage::sent,
                                                             self->step_error("send", code));
                              self->read();
                          });
    }

    void read()
    {
        parser_.body_limit(max_response_bytes);
        http::async_read(connection_->stream, connection_->buffer, parser_,
                         [self = shared_from_this()](beast::error_code code, std::size_t)
                         { self->on_read(code); });
    }

    void on_read(beast::error_code code)
    {
        if (code)
            return finish_failed(send_stage::sent, step_error("read answer", code));
        bool const reusable = parser_.get().keep_alive() && connection_->buffer.size() == 0;
        http_outcome outcome;
        outcome.stage = send_stage::sent;
        outcome.response = plain_response(parser_.release());
        if (!call_.expected_id.empty() &&
            outcome.response->field("X-Request-Id") != call_.expected_id)
            return finish_failed(send_stage::sent,
                                 fail(error_code::invalid_request, "read answer",
                                      call_.endpoint.value(), "it belongs to another request"));
        if (reusable)
            client_->keep(call_.endpoint, std::move(connection_));
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
    connection_ptr connection_;
    http::request<http::string_body> message_;
    http::response_parser<http::string_body> parser_;
};

http_client::http_client(duty& owner) : implementation_(std::make_shared<implementation>(owner)) {}

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

} // namespace guavashed
