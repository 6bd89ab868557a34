/// \file
/// Defines the conversion of "127.0.0.1:7000" into a TCP or UDP endpoint.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace guavashed
{

/// Parses an IP number and port; host names are refused. Thread safe.
result<boost::asio::ip::tcp::endpoint> parse_endpoint(endpoint_text const& text);

/// Opens, binds and listens; the error names the endpoint. Thread safety: as the acceptor.
result<void> listen_on(boost::asio::ip::tcp::acceptor& acceptor, endpoint_text const& where);

} // namespace guavashed
