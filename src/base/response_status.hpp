/// \file
/// Defines which status codes a final HTTP response may have.
#pragma once

namespace guavashed
{

/// Whether `status` is that of a final response. Others, such as 000 or 600, parse as a number of
/// three digits but have no meaning to callers; 1xx are interim responses. Thread safe; no
/// preconditions.
constexpr bool is_response_status(unsigned status)
{
    return status >= 200 && status <= 599;
}

} // namespace guavashed
