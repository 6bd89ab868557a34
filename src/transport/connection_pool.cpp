// Keeps idle connections, and decides which of them may be used again.
#include "transport/connection_pool.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace guavashed
{
namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::size_t max_idle_per_endpoint = 32;
/// Requests that one connection carries. Bounds the memory of their ids.
constexpr std::size_t max_requests_per_connection = 256;
/// Tenths of an upstream's advertised idle timeout during which a connection is reused. The rest is
/// a margin against the upstream closing it while a request is on its way.
constexpr int idle_tenths = 7;
/// Bytes of a surplus answer that a log line shows: status, and mostly the id of its request.
constexpr std::size_t max_logged_surplus = 160;

/// N of "Keep-Alive: timeout=N", in seconds; 0 when there is none.
int keep_alive_timeout_s(std::string_view value)
{
    constexpr std::string_view key = "timeout=";
    auto const at = value.find(key);
    if (at == std::string_view::npos)
        return 0;
    int seconds = 0;
    for (char const digit : value.substr(at + key.size()))
    {
        if (digit < '0' || digit > '9' || seconds > 3600)
            break;
        seconds = seconds * 10 + (digit - '0');
    }
    return seconds;
}

/// False when the peer has closed the connection or sent bytes outside of any response; the latter
/// are logged, since they may be a second answer that contradicts the first.
bool is_open_and_idle(tcp::socket& socket, endpoint_text const& endpoint)
{
    beast::error_code code;
    std::array<char, max_logged_surplus> head{};
    socket.non_blocking(true, code);
    std::size_t const count = socket.receive(asio::buffer(head), tcp::socket::message_peek, code);
    if (!code && count > 0)
    {
        std::string text(head.data(), count);
        std::replace_if(
            text.begin(), text.end(), [](char c) { return c < ' ' || c == '"' || c > '~'; }, ' ');
        log_request("surplus_answer", "peer=" + endpoint.value() + " head=\"" + text + "\"");
    }
    return code == asio::error::would_block;
}

} // namespace

void upstream_connection::learn_idle_timeout(std::string_view keep_alive)
{
    if (int const seconds = keep_alive_timeout_s(keep_alive); seconds > 0)
        idle_timeout = std::chrono::seconds(seconds);
}

upstream_connection_ptr connection_pool::take(endpoint_text const& endpoint, instant idle_since,
                                              std::size_t id_hash)
{
    auto& idle = idle_[endpoint];
    instant const now = instant::clock::now();
    for (std::size_t at = idle.size(); at-- > 0;)
    {
        auto const& ids = idle[at]->carried_ids;
        if (std::find(ids.begin(), ids.end(), id_hash) != ids.end())
            continue;
        upstream_connection_ptr candidate = std::move(idle[at]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
        if (candidate->reuse_until > now && candidate->idle_start >= idle_since &&
            is_open_and_idle(candidate->stream.socket(), endpoint))
            return candidate;
    }
    return nullptr;
}

void connection_pool::keep(endpoint_text const& endpoint, upstream_connection_ptr item)
{
    auto& idle = idle_[endpoint];
    if (idle.size() >= max_idle_per_endpoint ||
        item->carried_ids.size() >= max_requests_per_connection)
        return;
    item->idle_start = instant::clock::now();
    item->reuse_until = item->idle_start + item->idle_timeout * idle_tenths / 10;
    item->stream.expires_never();
    idle.push_back(std::move(item));
}

} // namespace guavashed
