// Downloads over plain sockets, since the client of the product reads as fast as it can.
#include "slow_downloads.hpp"

#include "base/endpoint.hpp"
#include "platform_upstream.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

namespace fleet_test
{
using namespace guavashed;

namespace
{

constexpr std::size_t bytes_at_once = 16 * 1024;
constexpr milliseconds pause_between_reads{10};
/// A connection on which nothing arrives for longer is given up, as callers do.
constexpr timeval read_timeout{4, 0};
constexpr milliseconds pause_after_failure{100};

/// The value of a field of a response head; empty if it is absent.
std::string field_of(std::string const& head, std::string const& name)
{
    auto const at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    auto const from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
}

/// Fills in the outcome if `received` is a whole response.
void read_response(std::string const& id, std::string const& received, std::size_t file_bytes,
                   standin::platform_call& call)
{
    auto const end = received.find("\r\n\r\n");
    if (end == std::string::npos)
        return;
    std::string const head = received.substr(0, end + 2);
    std::string const length = field_of(head, "Content-Length");
    if (length.empty() || received.size() != end + 4 + std::stoul(length))
        return;
    call.status = static_cast<unsigned>(std::stoul(received.substr(received.find(' ') + 1, 3)));
    call.verified_response = call.status == 200 &&
                             field_of(head, "X-Guavashed-Response-Signature") == "s-" + id &&
                             received.substr(end + 4) == standin::file_of(id, file_bytes);
}

} // namespace

void slow_downloads::start()
{
    for (unsigned i = 0; i < settings_.readers; ++i)
        threads_.emplace_back([this, i] { read_files(i); });
}

void slow_downloads::finish()
{
    stopping_ = true;
    for (auto& thread : threads_)
        thread.join();
    threads_.clear();
}

void slow_downloads::read_files(unsigned reader)
{
    std::mt19937_64 random(settings_.seed * 1000 + reader);
    for (unsigned number = 1; !stopping_; ++number)
    {
        std::string const id = "f" + std::to_string(settings_.seed) + "-" + std::to_string(reader) +
                               "-" + std::to_string(number);
        auto const call = download(id, settings_.entries[random() % settings_.entries.size()]);
        {
            std::lock_guard const guard(mutex_);
            calls_[id] = call;
        }
        if (call.status != 200)
            std::this_thread::sleep_for(pause_after_failure);
    }
}

standin::platform_call slow_downloads::download(std::string const& id, endpoint_text const& entry)
{
    standin::platform_call call;
    call.at = instant::clock::now();
    call.entry = entry.value();
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code failure;
    socket.open(boost::asio::ip::tcp::v4());
    socket.set_option(
        boost::asio::socket_base::receive_buffer_size(static_cast<int>(bytes_at_once)));
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &read_timeout,
                 sizeof read_timeout);
    socket.connect(parse_endpoint(entry).value(), failure);
    if (failure)
        return call;
    call.sent = true;
    boost::asio::write(socket,
                       boost::asio::buffer(
                           "GET " + settings_.prefix + id + " HTTP/1.1\r\nHost: " + settings_.host +
                           "\r\nX-Guavashed-Request-Id: " + id + "\r\nConnection: close\r\n\r\n"),
                       failure);
    std::string received;
    std::string buffer(bytes_at_once, ' ');
    while (!failure)
    {
        // Not through asio, which waits for ever after a read that would block.
        auto const count = ::recv(socket.native_handle(), buffer.data(), buffer.size(), 0);
        if (count <= 0)
            break;
        received.append(buffer.data(), static_cast<std::size_t>(count));
        std::this_thread::sleep_for(pause_between_reads);
    }
    read_response(id, received, settings_.file_bytes, call);
    call.took_ms =
        std::chrono::duration<double, std::milli>(instant::clock::now() - call.at).count();
    return call;
}

} // namespace fleet_test
