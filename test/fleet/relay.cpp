// Forwards data between callers and upstreams, and injects connection faults.
#include "relay.hpp"

#include "base/endpoint.hpp"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace fleet_test
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// A caller's connection and the matching one to the target. Each direction forwards one chunk at a
/// time.
class relay::link : public std::enable_shared_from_this<link>
{
public:
    link(relay& owner, tcp::socket caller)
        : owner_(owner), caller_(std::move(caller)),
          target_(caller_.get_executor()), to_target_{this, caller_, target_}, to_caller_{this,
                                                                                          target_,
                                                                                          caller_}
    {
    }

    void start(tcp::endpoint const& target)
    {
        target_.async_connect(target,
                              [self = shared_from_this()](boost::system::error_code code)
                              {
                                  if (code)
                                      return self->close(false);
                                  self->read_next(self->to_target_, false);
                                  self->read_next(self->to_caller_, true);
                              });
    }

    /// Stops forwarding without closing the connections.
    void stall() { stalled_ = true; }

    /// Resets both connections when the caller next sends data.
    void reset_on_send() { reset_on_send_ = true; }

    void close(bool reset)
    {
        boost::system::error_code ignored;
        if (reset)
        {
            caller_.set_option(asio::socket_base::linger(true, 0), ignored);
            target_.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        caller_.close(ignored);
        target_.close(ignored);
        owner_.links_.erase(shared_from_this());
    }

private:
    struct direction
    {
        direction(link* owner, tcp::socket& from_socket, tcp::socket& to_socket)
            : from(from_socket), to(to_socket), timer(owner->caller_.get_executor())
        {
        }
        tcp::socket& from;
        tcp::socket& to;
        asio::steady_timer timer;
        std::array<char, 16 * 1024> chunk{};
    };

    void read_next(direction& flow, bool from_target)
    {
        flow.from.async_read_some(asio::buffer(flow.chunk),
                                  [self = shared_from_this(), &flow,
                                   from_target](boost::system::error_code code, std::size_t size)
                                  {
                                      if (self->stalled_)
                                          return;
                                      if (code)
                                          return self->close(false);
                                      if (self->reset_on_send_ && !from_target)
                                          return self->close(true);
                                      self->forward(flow, from_target, size);
                                  });
    }

    void forward(direction& flow, bool from_target, std::size_t size)
    {
        relay_mode const mode = owner_.mode_;
        if (mode == relay_mode::one_way && from_target)
            return read_next(flow, from_target);
        if (mode == relay_mode::repeat && from_target)
            send_again(std::string(flow.chunk.data(), size));
        flow.timer.expires_after(holding_time(mode, from_target));
        flow.timer.async_wait(
            [self = shared_from_this(), &flow, from_target, size](boost::system::error_code)
            {
                asio::async_write(
                    flow.to, asio::buffer(flow.chunk.data(), size),
                    [self, &flow, from_target](boost::system::error_code code, std::size_t)
                    {
                        if (code)
                            return self->close(false);
                        self->read_next(flow, from_target);
                    });
            });
    }

    static std::chrono::milliseconds holding_time(relay_mode mode, bool from_target)
    {
        if (mode == relay_mode::delay)
            return delay;
        return mode == relay_mode::late && !from_target ? hold : std::chrono::milliseconds(0);
    }

    /// Sends a second copy of the data to the caller later.
    void send_again(std::string bytes)
    {
        auto const timer = std::make_shared<asio::steady_timer>(caller_.get_executor(), delay);
        timer->async_wait(
            [self = shared_from_this(), timer, bytes = std::move(bytes)](boost::system::error_code)
            {
                boost::system::error_code ignored;
                if (self->caller_.is_open())
                    asio::write(self->caller_, asio::buffer(bytes), ignored);
            });
    }

    relay& owner_;
    tcp::socket caller_;
    tcp::socket target_;
    direction to_target_;
    direction to_caller_;
    bool stalled_ = false;
    bool reset_on_send_ = false;
};

relay::relay(std::string const& listen, std::string const& target)
    : listen_(listen), target_(target), event_loop_("relay"), acceptor_(event_loop_.context())
{
}

relay::~relay()
{
    event_loop_.stop();
    links_.clear();
}

bool relay::start()
{
    if (!guavashed::listen_on(acceptor_, guavashed::endpoint_text(listen_)))
        return false;
    asio::post(event_loop_.context(), [this] { accept(); });
    return true;
}

void relay::accept()
{
    acceptor_.async_accept(
        [this](boost::system::error_code code, tcp::socket socket)
        {
            if (code)
                return;
            if (mode_ == relay_mode::reset)
            {
                boost::system::error_code ignored;
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
                socket.close(ignored);
                return accept();
            }
            auto const target = guavashed::parse_endpoint(guavashed::endpoint_text(target_));
            auto const item = std::make_shared<link>(*this, std::move(socket));
            links_.insert(item);
            if (target)
                item->start(target.value());
            accept();
        });
}

void relay::set(relay_mode mode)
{
    mode_ = mode;
    if (mode != relay_mode::stall)
        return;
    asio::post(event_loop_.context(),
               [this]
               {
                   for (auto const& item : links_)
                       item->stall();
               });
}

void relay::reset_open_on_send()
{
    asio::post(event_loop_.context(),
               [this]
               {
                   for (auto const& item : links_)
                       item->reset_on_send();
               });
}

void relay::reset_open()
{
    asio::post(event_loop_.context(),
               [this]
               {
                   auto const open = links_;
                   for (auto const& item : open)
                       item->close(true);
               });
}

} // namespace fleet_test
