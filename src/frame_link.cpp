#include "frame_link.hpp"

#include "endpoint.hpp"
#include "instant.hpp"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <deque>
#include <random>
#include <set>
#include <xxhash.h>

namespace guavashed
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::uint32_t frame_magic = 0x31485347; // "GSH1"
constexpr std::size_t max_payload_bytes = 8 * 1024 * 1024;
constexpr std::size_t max_hello_bytes = 1024;
constexpr std::size_t max_queued_bytes = 32 * 1024 * 1024;
constexpr std::chrono::seconds hello_limit{5};
/// Three pings may be lost before a session of the fleet register is given up.
constexpr std::chrono::milliseconds fleet_ping_interval{450};
constexpr std::chrono::milliseconds fleet_silence_limit{1500};
constexpr std::chrono::milliseconds connect_limit{1000};
constexpr std::chrono::milliseconds first_backoff{50};
constexpr std::chrono::milliseconds max_backoff{1000};

struct frame_header
{
    std::uint32_t magic;
    std::uint32_t length;
    std::uint64_t checksum;
    std::uint16_t type;
    std::uint16_t reserved[3];
};
static_assert(sizeof(frame_header) == 24);

std::string encode(frame_type type, std::string const& payload)
{
    frame_header header{};
    header.magic = frame_magic;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.checksum = XXH3_64bits(payload.data(), payload.size());
    header.type = static_cast<std::uint16_t>(type);
    std::string out(sizeof header + payload.size(), '\0');
    std::memcpy(out.data(), &header, sizeof header);
    std::memcpy(out.data() + sizeof header, payload.data(), payload.size());
    return out;
}

} // namespace

frame_identity fleet_identity(std::string name)
{
    frame_identity out;
    out.name = std::move(name);
    out.ping_interval = fleet_ping_interval;
    out.silence_limit = fleet_silence_limit;
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

namespace
{

/// Both ends of a session: hello first, then frames.
class tcp_session : public frame_session, public std::enable_shared_from_this<tcp_session>
{
public:
    using close_action = std::function<void(std::shared_ptr<tcp_session> const&)>;

    tcp_session(tcp::socket socket, frame_handler& handler, frame_identity const& identity,
                close_action on_closed)
        : socket_(std::move(socket)), hello_timer_(socket_.get_executor()),
          ping_timer_(socket_.get_executor()), handler_(handler), identity_(identity),
          on_closed_(std::move(on_closed))
    {
    }

    void start()
    {
        boost::system::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        // The key is sent first by both ends; a peer without it sees nothing else.
        queue(encode(frame_type::hello, identity_.cluster_key + '\n' + identity_.name));
        hello_timer_.expires_after(hello_limit);
        hello_timer_.async_wait(
            [weak = weak_from_this()](boost::system::error_code code)
            {
                auto const self = weak.lock();
                if (self && !code && !self->open_)
                    self->close();
            });
        read_header();
    }

    bool send(frame_type type, std::string payload) override
    {
        if (closed_ || !open_)
            return false;
        if (queued_bytes_ + payload.size() > max_queued_bytes)
        {
            close();
            return false;
        }
        queue(encode(type, payload));
        return true;
    }

    void close() override
    {
        if (closed_)
            return;
        closed_ = true;
        boost::system::error_code ignored;
        socket_.close(ignored);
        hello_timer_.cancel();
        ping_timer_.cancel();
        asio::post(socket_.get_executor(),
                   [self = shared_from_this()]
                   {
                       if (self->open_)
                           self->handler_.on_close(self);
                       self->on_closed_(self);
                   });
    }

    std::string const& peer() const override { return peer_; }

private:
    void queue(std::string bytes)
    {
        queued_bytes_ += bytes.size();
        outgoing_.push_back(std::move(bytes));
        if (!writing_)
            write();
    }

    void write()
    {
        writing_ = true;
        batch_.clear();
        std::size_t taken = 0;
        while (!outgoing_.empty() && taken < 256 * 1024)
        {
            taken += outgoing_.front().size();
            batch_ += outgoing_.front();
            outgoing_.pop_front();
        }
        asio::async_write(socket_, asio::buffer(batch_),
                          [self = shared_from_this()](boost::system::error_code code, std::size_t n)
                          {
                              self->writing_ = false;
                              self->queued_bytes_ -= n;
                              if (code)
                                  return self->close();
                              if (!self->outgoing_.empty())
                                  self->write();
                          });
    }

    void read_header()
    {
        asio::async_read(socket_, asio::buffer(&header_, sizeof header_),
                         [self = shared_from_this()](boost::system::error_code code, std::size_t)
                         {
                             if (code || !self->header_acceptable())
                                 return self->close();
                             self->read_payload();
                         });
    }

    bool header_acceptable() const
    {
        std::size_t const limit = open_ ? max_payload_bytes : max_hello_bytes;
        return header_.magic == frame_magic && header_.length <= limit;
    }

    void read_payload()
    {
        payload_.resize(header_.length);
        asio::async_read(socket_, asio::buffer(payload_),
                         [self = shared_from_this()](boost::system::error_code code, std::size_t)
                         {
                             if (code || !self->deliver())
                                 return self->close();
                             self->read_header();
                         });
    }

    bool deliver()
    {
        if (XXH3_64bits(payload_.data(), payload_.size()) != header_.checksum)
            return false;
        auto const type = static_cast<frame_type>(header_.type);
        silent_at_ = instant::clock::now() + identity_.silence_limit;
        if (open_ && type == frame_type::ping)
            return true;
        if (!open_)
            return type == frame_type::hello && accept_hello();
        handler_.on_frame(shared_from_this(), frame{type, std::move(payload_)});
        return !closed_;
    }

    void schedule_ping()
    {
        ping_timer_.expires_after(identity_.ping_interval);
        ping_timer_.async_wait(
            [weak = weak_from_this()](boost::system::error_code code)
            {
                auto const self = weak.lock();
                if (!self || code || self->closed_)
                    return;
                if (instant::clock::now() >= self->silent_at_)
                    return self->close();
                self->queue(encode(frame_type::ping, {}));
                self->schedule_ping();
            });
    }

    bool accept_hello()
    {
        auto const newline = payload_.find('\n');
        if (newline == std::string::npos)
            return false;
        if (!equal_in_constant_time(std::string_view(payload_).substr(0, newline),
                                    identity_.cluster_key))
            return false;
        peer_ = payload_.substr(newline + 1);
        open_ = true;
        hello_timer_.cancel();
        silent_at_ = instant::clock::now() + identity_.silence_limit;
        schedule_ping();
        handler_.on_open(shared_from_this());
        return true;
    }

    tcp::socket socket_;
    asio::steady_timer hello_timer_;
    asio::steady_timer ping_timer_;
    /// When the session is given up unless something arrives.
    instant silent_at_;
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

} // namespace

class frame_server::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(duty& owner, frame_handler& handler, frame_identity identity)
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

frame_server::frame_server(duty& owner, frame_handler& handler, frame_identity identity)
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
    implementation(duty& owner, frame_handler& handler, frame_identity identity,
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
        timer_.expires_after(connect_limit);
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

private:
    void on_connect(boost::system::error_code code, tcp::socket socket)
    {
        timer_.cancel();
        if (stopped_)
            return;
        if (code)
            return retry_later();
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
        backoff_ = first_backoff;
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
    std::chrono::milliseconds backoff_ = first_backoff;
    bool stopped_ = false;
};

frame_client::frame_client(duty& owner, frame_handler& handler, frame_identity identity,
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
endpoint_text const& frame_client::endpoint() const
{
    return implementation_->endpoint();
}

} // namespace guavashed
