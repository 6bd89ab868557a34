// Parses endpoints and opens listening sockets.
#include "base/endpoint.hpp"

#include <charconv>

namespace guavashed
{

result<boost::asio::ip::tcp::endpoint> parse_endpoint(endpoint_text const& text)
{
    std::string const& value = text.value();
    auto const colon = value.rfind(':');
    if (colon == std::string::npos)
        return fail(error_code::invalid_setting, "parse endpoint", value, "expected IP:PORT");
    unsigned port = 0;
    char const* const end = value.data() + value.size();
    auto const parsed = std::from_chars(value.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0 || port > 65535)
        return fail(error_code::invalid_setting, "parse endpoint", value,
                    "port must be from 1 to 65535");
    boost::system::error_code code;
    auto const address = boost::asio::ip::make_address(value.substr(0, colon), code);
    if (code)
        return fail(error_code::invalid_setting, "parse endpoint", value,
                    "expected a numeric IP address");
    return boost::asio::ip::tcp::endpoint(address, static_cast<unsigned short>(port));
}

result<void> listen_on(boost::asio::ip::tcp::acceptor& acceptor, endpoint_text const& where)
{
    BOOST_OUTCOME_TRY(auto const endpoint, parse_endpoint(where));
    boost::system::error_code code;
    acceptor.open(endpoint.protocol(), code);
    if (!code)
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), code);
    if (!code)
        acceptor.bind(endpoint, code);
    if (!code)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, code);
    if (code)
        return fail(error_code::io_failure, "listen", where.value(), code.message());
    return boost::outcome_v2::success();
}

} // namespace guavashed
