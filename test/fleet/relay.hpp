/// \file
/// Defines relay, a TCP relay on loopback that delays, resets, silences or cuts what it carries.
#pragma once

#include "base/duty.hpp"
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
    /// Each piece is held for `delay`.
    delay,
    /// New connections are reset.
    reset,
    /// Open connections go silent for good, while new ones work.
    silence,
    /// What upstreams send does not arrive.
    one_way
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
    /// Open connections stay open, and are reset by what callers send on them next.
    void forget_open();

    static constexpr std::chrono::milliseconds delay{120};

private:
    class link;
    void accept();

    std::string listen_;
    std::string target_;
    std::atomic<relay_mode> mode_{relay_mode::pass};
    std::set<std::shared_ptr<link>> links_;
    guavashed::duty duty_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace fleet_test
