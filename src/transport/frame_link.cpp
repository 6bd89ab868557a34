// Implements the framed sessions: an accepting server and a reconnecting client.
#include "transport/frame_link.hpp"

#include "base/endpoint.hpp"
#include "base/event_loop.hpp"
#include "transport/tcp_session.hpp"

#include <boost/asio/steady_timer.hpp>
#include <random>
#include <set>

namespace guavashed
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

/// A session of the fleet register is closed after three consecutive pings were missed.
constexpr std::chrono::milliseconds fleet_ping_interval{450};
constexpr std::chrono::milliseconds fleet_receive_timeout{1500};
constexpr std::chrono::milliseconds connect_timeout{1000};
constexpr std::chrono::milliseconds min_backoff{50};
constexpr std::chrono::milliseconds max_backoff{1000};

} // namespace

frame_identity fleet_identity(std::string name)
{
    frame_identity out;
    out.name = std::move(name);
    out.ping_interval = fleet_ping_interval;
    out.receive_timeout = fleet_receive_timeout;
    return out;
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    return difference == 0;
}

class frame_server::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(event_loop& owner, frame_handler& handler, frame_identity identity)
        : acceptor_(owner.context()), handler_(handler), identity_(std::move(identity))
    {
    }

    result<void> listen(endpoint_text const& where)
    {
        BOOST_OUTCOME_TRY(listen_on(acceptor_, where));
        accept();
        return boost::outcome_v2::success();
    }

    void close()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        auto const open = sessions_;
        for (auto const& session : open)
            session->close();
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](boost::system::error_code code, tcp::socket socket)
            {
                if (!self->acceptor_.is_open())
                    return;
                if (!code)
                    self->adopt(std::move(socket));
                self->accept();
            });
    }

    void adopt(tcp::socket socket)
    {
        auto session = std::make_shared<tcp_session>(
            std::move(socket), handler_, identity_,
            [weak = weak_from_this()](std::shared_ptr<tcp_session> const& ended)
            {
                if (auto const self = weak.lock())
                    self->sessions_.erase(ended);
            });
        sessions_.insert(session);
        session->start();
    }

    tcp::acceptor acceptor_;
    frame_handler& handler_;
    frame_identity identity_;
    std::set<std::shared_ptr<tcp_session>> sessions_;
};

frame_server::frame_server(event_loop& owner, frame_handler& handler, frame_identity identity)
    : implementation_(std::make_shared<implementation>(owner, handler, std::move(identity)))
{
}
frame_server::~frame_server() = default;
result<void> frame_server::listen(endpoint_text const& where)
{
    return implementation_->listen(where);
}
void frame_server::close()
{
    implementation_->close();
}

class frame_client::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(event_loop& owner, frame_handler& handler, frame_identity identity,
                   endpoint_text endpoint)
        : context_(owner.context()), timer_(owner.context()), handler_(handler),
          identity_(std::move(identity)), endpoint_(std::move(endpoint)),
          random_(std::random_device{}())
    {
    }

    void start()
    {
        auto const endpoint = parse_endpoint(endpoint_);
        if (!endpoint || stopped_)
            return;
        auto socket = std::make_shared<tcp::socket>(context_);
        connect_start_ = instant::clock::now();
        timer_.expires_after(connect_timeout);
        timer_.async_wait(
            [socket](boost::system::error_code code)
            {
                boost::system::error_code ignored;
                if (!code)
                    socket->close(ignored);
            });
        socket->async_connect(endpoint.value(),
                              [self = shared_from_this(), socket](boost::system::error_code code)
                              { self->on_connect(code, std::move(*socket)); });
    }

    void stop()
    {
        stopped_ = true;
        timer_.cancel();
        if (session_)
            session_->close();
    }

    std::shared_ptr<tcp_session> session_;
    endpoint_text const& endpoint() const { return endpoint_; }
    std::chrono::microseconds round_trip() const { return round_trip_; }

private:
    void on_connect(boost::system::error_code code, tcp::socket socket)
    {
        timer_.cancel();
        if (stopped_)
            return;
        if (code)
            return retry_later();
        round_trip_ = std::chrono::duration_cast<std::chrono::microseconds>(instant::clock::now() -
                                                                            connect_start_);
        session_ = std::make_shared<tcp_session>(
            std::move(socket), handler_, identity_,
            [weak = weak_from_this()](std::shared_ptr<tcp_session> const&)
            {
                auto const self = weak.lock();
                if (!self)
                    return;
                self->session_.reset();
                self->retry_later();
            });
        session_->start();
        backoff_ = min_backoff;
    }

    void retry_later()
    {
        if (stopped_)
            return;
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        timer_.expires_after(
            std::chrono::duration_cast<std::chrono::microseconds>(backoff_ * jitter(random_)));
        backoff_ = std::min(backoff_ * 2, max_backoff);
        timer_.async_wait(
            [self = shared_from_this()](boost::system::error_code code)
            {
                if (!code)
                    self->start();
            });
    }

    asio::io_context& context_;
    asio::steady_timer timer_;
    frame_handler& handler_;
    frame_identity identity_;
    endpoint_text endpoint_;
    std::minstd_rand random_;
    std::chrono::milliseconds backoff_ = min_backoff;
    instant connect_start_;
    std::chrono::microseconds round_trip_{0};
    bool stopped_ = false;
};

frame_client::frame_client(event_loop& owner, frame_handler& handler, frame_identity identity,
                           endpoint_text endpoint)
    : implementation_(std::make_shared<implementation>(owner, handler, std::move(identity),
                                                       std::move(endpoint)))
{
}
frame_client::~frame_client() = default;
void frame_client::start()
{
    implementation_->start();
}
void frame_client::stop()
{
    implementation_->stop();
}
bool frame_client::send(frame_type type, std::string payload)
{
    auto const session = implementation_->session_;
    return session && session->send(type, std::move(payload));
}
bool frame_client::owns(frame_session const& session) const
{
    return implementation_->session_.get() == &session;
}
std::chrono::microseconds frame_client::round_trip() const
{
    return implementation_->round_trip();
}
endpoint_text const& frame_client::endpoint() const
{
    return implementation_->endpoint();
}

} // namespace guavashed
