// The sockets, the registration and the sound responses of raw_upstream.
#include "raw_upstream.hpp"

#include <arpa/inet.h>
#include <boost/algorithm/string/predicate.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{
namespace
{

constexpr int heartbeat_ms = 1500;
constexpr std::size_t max_head_bytes = 65536;

std::string header(std::string const& head, std::string const& name)
{
    std::istringstream lines(head);
    for (std::string line; std::getline(lines, line);)
        if (auto const colon = line.find(':');
            colon != std::string::npos && boost::algorithm::iequals(line.substr(0, colon), name))
        {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            return value;
        }
    return {};
}

} // namespace

raw_upstream::raw_upstream(deployment const& fleet, unsigned place, responder respond,
                           unsigned work_ms)
    : controls_(fleet.control_addresses()), id_("i-" + std::to_string(2000 + place)),
      zone_(deployment::zone_of(place)), address_(fleet.upstream_address(place)),
      respond_(std::move(respond)), work_ms_(work_ms)
{
}

raw_upstream::~raw_upstream()
{
    stop();
}

bool raw_upstream::start()
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in where{};
    auto const colon = address_.rfind(':');
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address_.substr(colon + 1))));
    inet_pton(AF_INET, address_.substr(0, colon).c_str(), &where.sin_addr);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&where), sizeof where) != 0 ||
        ::listen(listener_, 128) != 0)
        return false;
    accepting_ = std::thread([this] { accept(); });
    announcing_ = std::thread([this] { announce(); });
    return true;
}

void raw_upstream::stop()
{
    if (stopping_.exchange(true))
        return;
    if (accepting_.joinable())
        accepting_.join();
    if (announcing_.joinable())
        announcing_.join();
    {
        std::lock_guard const guard(mutex_);
        for (int const socket : sockets_)
            ::shutdown(socket, SHUT_RDWR);
    }
    while (serving_ > 0)
        sleep_ms(5);
    if (listener_ >= 0)
        ::close(listener_);
}

std::map<std::string, unsigned> raw_upstream::runs() const
{
    std::lock_guard const guard(mutex_);
    return runs_;
}

std::string raw_upstream::sound_response(raw_request const& request)
{
    std::string const body = request.method == "HEAD" ? "" : "answer to " + request.id;
    return "HTTP/1.1 200 OK\r\nX-Guavashed-Request-Id: " + request.id +
           "\r\nX-Guavashed-Response-Signature: s-" + request.id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool raw_upstream::write(int socket, std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        ssize_t const n = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

void raw_upstream::accept()
{
    while (!stopping_)
    {
        pollfd wait{listener_, POLLIN, 0};
        if (::poll(&wait, 1, 50) != 1)
            continue;
        sockaddr_in peer{};
        socklen_t length = sizeof peer;
        int const socket =
            ::accept4(listener_, reinterpret_cast<sockaddr*>(&peer), &length, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        int const on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        char text[INET_ADDRSTRLEN] = {};
        inet_ntop(AF_INET, &peer.sin_addr, text, sizeof text);
        {
            std::lock_guard const guard(mutex_);
            sockets_.insert(socket);
        }
        ++serving_;
        std::thread([this, socket, caller = std::string(text)] { serve(socket, caller); }).detach();
    }
}

void raw_upstream::serve(int socket, std::string caller)
{
    std::string buffer;
    bool open = true;
    while (open && !stopping_)
    {
        std::size_t end = std::string::npos;
        std::size_t size = 0;
        for (;;)
        {
            end = buffer.find("\r\n\r\n");
            if (end != std::string::npos)
            {
                std::string const length = header(buffer.substr(0, end + 2), "Content-Length");
                size = length.empty() ? 0 : std::stoul(length);
                if (buffer.size() >= end + 4 + size)
                    break;
            }
            char bytes[16384];
            ssize_t const n = ::recv(socket, bytes, sizeof bytes, 0);
            open = n > 0 && buffer.size() < max_head_bytes;
            if (!open)
                break;
            buffer.append(bytes, static_cast<std::size_t>(n));
        }
        if (!open)
            break;
        std::string const head = buffer.substr(0, end + 2);
        buffer.erase(0, end + 4 + size);
        raw_request request;
        std::istringstream first(head);
        first >> request.method >> request.target;
        request.id = header(head, "X-Guavashed-Request-Id");
        request.caller = caller;
        request.number = ++requests_;
        if (request.target == "/health")
        {
            open = write(socket, "HTTP/1.1 200 OK\r\nX-Guavashed-Instance-Id: " + id_ +
                                     "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (header(head, "X-Guavashed-Target-Instance") != id_)
        {
            open = write(socket, "HTTP/1.1 421 Misdirected Request\r\nX-Guavashed-Request-Id: " +
                                     request.id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        {
            std::lock_guard const guard(mutex_);
            ++runs_[request.id];
        }
        sleep_ms(static_cast<int>(work_ms_));
        open = respond_(request, socket);
    }
    {
        std::lock_guard const guard(mutex_);
        sockets_.erase(socket);
    }
    ::close(socket);
    --serving_;
}

void raw_upstream::announce()
{
    auto const born = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    std::size_t control = 0;
    unsigned sequence = 0;
    auto next = clock::now();
    while (!stopping_)
    {
        if (clock::now() < next)
        {
            sleep_ms(20);
            continue;
        }
        std::string const body =
            "{\"address\":\"" + address_ + "\",\"born\":" + std::to_string(born) +
            ",\"info\":{\"service\":\"roster\",\"version\":\"v1\",\"zone\":\"" + zone_ +
            "\",\"concurrency_limit\":4},\"status\":{\"state\":\"ready\",\"sequence\":" +
            std::to_string(++sequence) + ",\"warmup_left_ms\":0}}";
        auto const reply = request(controls_[control % controls_.size()], "PUT",
                                   "/v1/instances/" + id_, "", body, milliseconds(1000));
        if (reply.status / 100 == 2)
            next += milliseconds(heartbeat_ms);
        else
            ++control;
    }
}

} // namespace review
