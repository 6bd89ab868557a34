// Implements the framing checks of request heads (RFC 9112, sections 2.2, 3.2, 5.2 and 6).
#include "transport/request_head.hpp"

#include <boost/algorithm/string/predicate.hpp>

namespace guavashed
{
namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

head_check malformed(std::string_view reason)
{
    return {head_verdict::malformed, reason};
}

} // namespace

head_check check_request_head(std::string_view bytes, std::size_t max_bytes)
{
    std::string_view const allowed = bytes.substr(0, max_bytes);
    auto const end = allowed.find(head_end);
    if (end == std::string_view::npos)
        return {bytes.size() > max_bytes ? head_verdict::too_large : head_verdict::incomplete, {}};
    std::string_view rest = bytes.substr(0, end);
    auto const first_line_end = rest.find(line_end);
    bool const http_1_1 = rest.substr(0, first_line_end).ends_with(" HTTP/1.1");
    rest.remove_prefix(first_line_end == std::string_view::npos ? rest.size()
                                                                : first_line_end + line_end.size());
    int hosts = 0;
    int encodings = 0;
    bool sized = false;
    while (!rest.empty())
    {
        auto const at = rest.find(line_end);
        std::string_view const line = rest.substr(0, at);
        rest.remove_prefix(at == std::string_view::npos ? rest.size() : at + line_end.size());
        if (line.starts_with(' ') || line.starts_with('\t'))
            return malformed("a header field is folded over two lines");
        auto const colon = line.find(':');
        if (colon == std::string_view::npos)
            return malformed("a header field has no colon");
        std::string_view const name = line.substr(0, colon);
        if (boost::algorithm::iequals(name, "Host"))
            ++hosts;
        sized |= boost::algorithm::iequals(name, "Content-Length");
        if (!boost::algorithm::iequals(name, "Transfer-Encoding"))
            continue;
        ++encodings;
        if (!boost::algorithm::iequals(trimmed(line.substr(colon + 1)), "chunked"))
            return malformed("Transfer-Encoding is not exactly chunked");
    }
    if (encodings > 1)
        return malformed("Transfer-Encoding is repeated");
    if (encodings > 0 && sized)
        return malformed("both Transfer-Encoding and Content-Length");
    if (hosts > 1 || (hosts == 0 && http_1_1))
        return malformed("Host is missing or repeated");
    return {head_verdict::well_formed, {}};
}

} // namespace guavashed
