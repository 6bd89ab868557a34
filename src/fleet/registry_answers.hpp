/// \file
/// Defines the answers of a control host that several of its source files give.
#pragma once

#include "base/instant.hpp"
#include "transport/operator_port.hpp"

#include <string>
#include <utility>

namespace guavashed
{

/// Clients of a control host time out after one second and turn to another one.
constexpr milliseconds answer_limit{900};

/// The order is in force. Thread safe.
inline http_response acknowledged()
{
    return json_response(200, "{}");
}

/// The outcome is not known, or the order was not carried out; it may be sent again. Thread safe.
inline http_response unavailable(std::string detail)
{
    return error_response(503, fail(error_code::unavailable, "order", "", std::move(detail)));
}

} // namespace guavashed
