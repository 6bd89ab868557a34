/// \file
/// Defines relay, a TCP relay on loopback that can delay, reset, stall or drop the traffic that it
/// forwards.
#pragma once

#include "base/event_loop.hpp"
#include "base/ids.hpp"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <set>

namespace fleet_test
{

enum class relay_mode
{
    pass,
    /// Each chunk read is forwarded after `delay`.
    delay,
    /// New connections are reset.
    reset,
    /// Connections open when the mode is set stop forwarding for good but stay open; new ones work.
    stall,
    /// Data from upstreams is dropped.
    one_way,
    /// Data from upstreams is forwarded, and once more after `delay`.
    repeat,
    /// Data to upstreams is forwarded after `hold`, also if the caller has closed meanwhile.
    late
};

/// Thread safety: all methods are thread safe.
class relay
{
public:
    relay(std::string const& listen, std::string const& target);
    ~relay();

    bool start();
    void set(relay_mode mode);
    /// Closes all open connections with a reset.
    void reset_open();
    /// Leaves the open connections open, but resets each when the caller next sends data on it, as
    /// a peer does that has lost the state of the connection.
    void reset_open_on_send();

    static constexpr std::chrono::milliseconds delay{120};
    static constexpr std::chrono::milliseconds hold{700};

private:
    class link;
    void accept();

    std::string listen_;
    std::string target_;
    std::atomic<relay_mode> mode_{relay_mode::pass};
    std::set<std::shared_ptr<link>> links_;
    guavashed::event_loop event_loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace fleet_test
