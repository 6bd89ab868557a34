/// \file
/// Defines parse_endpoint, which parses addresses like "127.0.0.1:7000", and listen_on.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace guavashed
{

/// Parses a numeric IP address and a port of 1 to 65535; host names are an error, since nothing is
/// resolved here. Thread safe.
result<boost::asio::ip::tcp::endpoint> parse_endpoint(endpoint_text const& text);

/// Opens and binds the acceptor and starts listening; an error names the endpoint. Thread safety:
/// as the acceptor.
result<void> listen_on(boost::asio::ip::tcp::acceptor& acceptor, endpoint_text const& where);

} // namespace guavashed
