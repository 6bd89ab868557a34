// Formats error codes and errors as text.
#include "base/error.hpp"

namespace guavashed
{

char const* to_string(error_code code)
{
    switch (code)
    {
    case error_code::invalid_setting:
        return "invalid_setting";
    case error_code::invalid_document:
        return "invalid_document";
    case error_code::invalid_frame:
        return "invalid_frame";
    case error_code::invalid_request:
        return "invalid_request";
    case error_code::invalid_chart:
        return "invalid_chart";
    case error_code::unknown_place:
        return "unknown_place";
    case error_code::conflict:
        return "conflict";
    case error_code::expired:
        return "expired";
    case error_code::not_leader:
        return "not_leader";
    case error_code::unavailable:
        return "unavailable";
    case error_code::io_failure:
        return "io_failure";
    case error_code::corrupt_file:
        return "corrupt_file";
    case error_code::refused:
        return "refused";
    case error_code::overloaded:
        return "overloaded";
    case error_code::timeout:
        return "timeout";
    case error_code::unauthorized:
        return "unauthorized";
    }
    return "unnamed";
}

std::string to_string(error const& failure)
{
    std::string text = to_string(failure.code);
    text += " at " + failure.step;
    if (!failure.peer.empty())
        text += " with " + failure.peer;
    text += ": " + failure.detail;
    return text;
}

} // namespace guavashed
