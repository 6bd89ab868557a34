// Implements field look-up and query parsing of HTTP messages.
#include "transport/http_message.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <charconv>

namespace guavashed
{
namespace
{

std::string_view find_field(std::vector<http_field> const& fields, std::string_view name)
{
    for (auto const& field : fields)
        if (boost::algorithm::iequals(field.name, name))
            return field.value;
    return {};
}

std::string percent_decoded(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned byte = 0;
        bool const escape = text[i] == '%' && i + 2 < text.size();
        if (escape &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16).ec == std::errc{})
        {
            out.push_back(static_cast<char>(byte));
            i += 2;
        }
        else
            out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
    return out;
}

} // namespace

std::string_view http_request::field(std::string_view name) const
{
    return find_field(fields, name);
}

std::string_view http_response::field(std::string_view name) const
{
    return find_field(fields, name);
}

http_response json_response(unsigned status, std::string body)
{
    return http_response{status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string query_value(std::string_view target, std::string_view name)
{
    auto const question = target.find('?');
    if (question == std::string_view::npos)
        return {};
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty())
    {
        auto const end = rest.find('&');
        std::string_view const pair = rest.substr(0, end);
        auto const equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos)
            return percent_decoded(pair.substr(equals + 1));
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    return {};
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace guavashed
