// Implements the accepting part of http_server; http_session serves the connections.
#include "transport/http_server.hpp"

#include "base/endpoint.hpp"
#include "transport/http_session.hpp"

#include <array>
#include <boost/asio/post.hpp>
#include <linux/filter.h>
#include <sys/socket.h>
#include <utility>

namespace guavashed
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

/// Pause after a failed accept, for example when the process is out of file descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{20};
/// For handshakes that have begun to end before the port is closed: a round trip of a caller.
constexpr std::chrono::milliseconds handshake_time{150};

} // namespace

class http_server::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(event_loop& owner, http_handler& handler, http_server_limits limits)
        : state_(std::make_shared<http_server_state>(owner, handler, limits)),
          acceptor_(owner.context()), retry_(owner.context()), stop_(owner.context())
    {
    }

    result<void> listen(endpoint_text const& where)
    {
        BOOST_OUTCOME_TRY(listen_on(acceptor_, where));
        listening_ = true;
        accept();
        return boost::outcome_v2::success();
    }

    void drain()
    {
        asio::post(state_->owner.context(),
                   [self = shared_from_this()] { self->state_->draining = true; });
    }

    void close()
    {
        asio::post(state_->owner.context(), [self = shared_from_this()] { self->stop(); });
    }

    std::shared_ptr<http_server_state> state_;
    std::atomic<bool> listening_{false};

private:
    void accept();
    void adopt(tcp::socket socket);
    void retry_accept();
    void stop();
    /// Drops the first packet of new connections; handshakes that have begun end as usual.
    void refuse_handshakes();
    void accept_backlog();

    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    asio::steady_timer stop_;
    bool stopping_ = false;
};

void http_server::implementation::accept()
{
    acceptor_.async_accept(
        [self = shared_from_this()](boost::system::error_code code, tcp::socket socket)
        {
            if (!code)
                self->adopt(std::move(socket));
            if (!self->acceptor_.is_open())
                return;
            if (code)
                return self->retry_accept();
            self->accept();
        });
}

void http_server::implementation::adopt(tcp::socket socket)
{
    if (state_->counters.open >= state_->limits.max_connections)
    {
        ++state_->counters.refused_connections;
        return;
    }
    ++state_->counters.accepted;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<http_session>(state_, std::move(socket))->start();
}

void http_server::implementation::retry_accept()
{
    retry_.expires_after(accept_retry_delay);
    retry_.async_wait(
        [self = shared_from_this()](boost::system::error_code)
        {
            if (self->acceptor_.is_open())
                self->accept();
        });
}

void http_server::implementation::stop()
{
    state_->draining = true;
    // Closing a session may end it, which removes it from the set.
    auto const sessions = state_->sessions;
    for (auto* const session : sessions)
        if (state_->sessions.contains(session))
            session->close_if_idle();
    if (!acceptor_.is_open() || stopping_)
        return;
    stopping_ = true;
    refuse_handshakes();
    stop_.expires_after(handshake_time);
    stop_.async_wait(
        [self = shared_from_this()](boost::system::error_code)
        {
            self->accept_backlog();
            boost::system::error_code ignored;
            self->acceptor_.close(ignored);
            self->listening_ = false;
        });
}

void http_server::implementation::refuse_handshakes()
{
    // The filter sees the TCP header; its 14th byte holds the flags. Where the system has no such
    // filter, handshakes that end just before the port is closed are reset.
    constexpr std::uint32_t flags_offset = 13;
    constexpr std::uint32_t syn_flag = 0x02;
    constexpr std::uint32_t keep_whole = 0xffffffff;
    std::array<sock_filter, 4> drop_syn{{{BPF_LD | BPF_B | BPF_ABS, 0, 0, flags_offset},
                                         {BPF_JMP | BPF_JSET | BPF_K, 0, 1, syn_flag},
                                         {BPF_RET | BPF_K, 0, 0, 0},
                                         {BPF_RET | BPF_K, 0, 0, keep_whole}}};
    sock_fprog const program{static_cast<unsigned short>(drop_syn.size()), drop_syn.data()};
    ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

void http_server::implementation::accept_backlog()
{
    boost::system::error_code code;
    acceptor_.non_blocking(true, code);
    while (!code)
    {
        tcp::socket socket(state_->owner.context());
        acceptor_.accept(socket, code);
        if (!code)
            adopt(std::move(socket));
    }
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
    implementation_->state_->limits = limits;
}

void http_server::drain()
{
    implementation_->drain();
}

void http_server::close()
{
    implementation_->close();
}

bool http_server::closed() const
{
    return !implementation_->listening_ && implementation_->state_->counters.open == 0;
}

http_server_counters const& http_server::counters() const
{
    return implementation_->state_->counters;
}

} // namespace guavashed
