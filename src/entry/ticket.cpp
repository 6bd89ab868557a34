// Prints and parses the ticket part of idempotency keys.
#include "entry/ticket.hpp"

#include <charconv>
#include <set>

namespace guavashed
{
namespace
{

constexpr std::size_t max_key_length = 256;
constexpr std::size_t max_recorders = 7;
constexpr std::int64_t max_wall_ms = 4'102'444'800'000; // the year 2100

error key_error(std::string detail)
{
    return fail(error_code::invalid_request, "read idempotency key", "", std::move(detail));
}

result<wall_instant> parse_wall(std::string_view text)
{
    std::int64_t ms = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || ms <= 0 ||
        ms > max_wall_ms)
        return key_error(
            "invalid time: expected milliseconds since the epoch, up to the year 2100");
    return wall_instant(milliseconds(ms));
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (;;)
    {
        auto const end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

} // namespace

std::string print_ticket(ticket const& item)
{
    std::string text;
    for (auto const& recorder : item.recorders)
        text += (text.empty() ? "" : "+") + recorder.value();
    return text + "~" + std::to_string(wall_ms(item.issued)) + "~" +
           std::to_string(wall_ms(item.expires)) + "~";
}

result<ticket> parse_ticket(idempotency_key const& key)
{
    if (key.value().size() > max_key_length)
        return key_error("too long: got " + std::to_string(key.value().size()) +
                         " of at most 256 characters");
    auto const parts = split(key.value(), '~');
    if (parts.size() != 4 || parts[3].empty())
        return key_error(
            "expected the key_prefix of a look-up answer, followed by a unique part of "
            "the caller's own");
    ticket out;
    std::set<std::string_view> distinct;
    for (auto const name : split(parts[0], '+'))
    {
        if (name.empty() || !distinct.insert(name).second)
            return key_error("a recorder's name is empty or occurs twice");
        out.recorders.emplace_back(std::string(name));
    }
    if (out.recorders.size() > max_recorders)
        return key_error("too many recorders: got " + std::to_string(out.recorders.size()) +
                         " of at most 7");
    BOOST_OUTCOME_TRY(out.issued, parse_wall(parts[1]));
    BOOST_OUTCOME_TRY(out.expires, parse_wall(parts[2]));
    if (out.expires <= out.issued)
        return key_error("the time of expiry is not after the time of issue");
    return out;
}

} // namespace guavashed
