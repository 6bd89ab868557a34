/// \file
/// Defines what an answer of an upstream must be like to count as one, and the room that it gets.
#pragma once

#include "transport/http_message.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>

namespace guavashed
{

/// Longest body of an answer.
constexpr std::size_t max_response_bytes = 16 * 1024 * 1024;

/// False for a status that is neither one of a final response nor of an interim one. Thread safe.
bool has_known_status(unsigned status);

/// False for a transfer coding that the parser doesn't decode; the body would be passed on encoded,
/// without the field that says so. Thread safe.
bool has_known_coding(boost::beast::http::fields const& head);

/// Bytes to reserve for a body of unknown length before the next read; 0 if it has enough room, or
/// is small. A string that grows by itself doubles and holds its old bytes meanwhile: three times
/// the body, of which a third was counted before. Thread safe.
std::size_t room_for_next_read(std::size_t size, std::size_t capacity);

/// Thread safe.
http_response
to_http_response(boost::beast::http::response<boost::beast::http::string_body>&& message);

} // namespace guavashed
