/// \file
/// Defines connection_pool, the kept-alive connections of an http_client.
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavashed
{

/// Bytes that are read ahead of the parser. It leaves a head, a chunk size line or a trailer in the
/// buffer until it is complete, so this bounds their length as well.
constexpr std::size_t max_unparsed_bytes = 64 * 1024;

/// A connection to an upstream. Thread safety: none.
struct upstream_connection
{
    explicit upstream_connection(boost::asio::io_context& context) : stream(context) {}

    /// Adopts the idle timeout of a Keep-Alive field, if it states one.
    void learn_idle_timeout(std::string_view keep_alive);

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{max_unparsed_bytes};
    instant reuse_until;
    instant idle_start;
    /// Idle timeout that the upstream advertised last.
    milliseconds idle_timeout{10'000};
    /// Hashes of the ids of the requests that it has carried.
    std::vector<std::size_t> carried_ids;
};

using upstream_connection_ptr = std::unique_ptr<upstream_connection>;

/// Idle connections by endpoint. Thread safety: none; owned by the client's event loop.
class connection_pool
{
public:
    /// Takes a connection that has been idle since `idle_since` at most and has not carried a
    /// request with this id: a faulty upstream may write an earlier answer again, and only the id
    /// tells whose it is. Null if there is none.
    upstream_connection_ptr take(endpoint_text const& endpoint, instant idle_since,
                                 std::size_t id_hash);
    /// Keeps a connection for reuse, or closes it if enough are kept. Precondition: its last answer
    /// has been read whole, and nothing beyond it.
    void keep(endpoint_text const& endpoint, upstream_connection_ptr item);

private:
    std::unordered_map<endpoint_text, std::vector<upstream_connection_ptr>> idle_;
};

} // namespace guavashed
