/// \file
/// Defines HTTP requests and responses as plain values, which confines Beast to two source files.
#pragma once

#include "base/instant.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace guavashed
{

struct http_field
{
    std::string name;
    std::string value;
};

struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<http_field> fields;
    std::string body;
    /// When its last bytes reached this host; set by servers whose limits have `stamps_arrivals`.
    instant arrived_at = {};

    /// Value of the first field with that name, compared without case; empty when absent. Thread
    /// safe.
    std::string_view field(std::string_view name) const;
};

struct http_response
{
    unsigned status = 200;
    std::vector<http_field> fields;
    std::string body;

    /// Value of the first field with that name, compared without case; empty when absent. Thread
    /// safe.
    std::string_view field(std::string_view name) const;
};

/// A response with `body` as its JSON document. Thread safe.
http_response json_response(unsigned status, std::string body);

/// Value of the parameter `name` in the target's query, with percent escapes decoded; empty when
/// absent. Thread safe.
std::string query_value(std::string_view target, std::string_view name);

/// The target without its query. Thread safe.
std::string_view path_of(std::string_view target);

} // namespace guavashed
