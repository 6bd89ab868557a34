// Checks answers of upstreams, and decides on the room for their bodies.
#include "transport/upstream_answer.hpp"

#include "base/response_status.hpp"

#include <algorithm>

namespace guavashed
{
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/// Most bytes that one read adds to a body, with what was read ahead before.
constexpr std::size_t max_read_bytes = 128 * 1024;
/// Smaller bodies double: their old bytes are few.
constexpr std::size_t large_body_bytes = 512 * 1024;

} // namespace

bool has_known_status(unsigned status)
{
    return status / 100 == 1 || is_response_status(status);
}

bool has_known_coding(http::fields const& head)
{
    auto const codings = head.count(http::field::transfer_encoding);
    return codings == 0 ||
           (codings == 1 && beast::iequals(head[http::field::transfer_encoding], "chunked"));
}

std::size_t room_for_next_read(std::size_t size, std::size_t capacity)
{
    if (size < large_body_bytes || capacity - size >= max_read_bytes)
        return 0;
    return std::max(std::min(size + size / 2, max_response_bytes), size + max_read_bytes);
}

http_response to_http_response(http::response<http::string_body>&& message)
{
    http_response out;
    out.status = message.result_int();
    for (auto const& field : message)
        out.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    out.body = std::move(message.body());
    return out;
}

} // namespace guavashed
