/// \file
/// Defines registry_protocol, the HTTP mapping of requests to a control host, and those requests.
#pragma once

#include "access/access_config.hpp"
#include "fleet/register_command.hpp"
#include "transport/http_message.hpp"

#include <string>
#include <variant>
#include <vector>

namespace guavashed
{

/// An upstream registers, or renews its registration.
struct announce_request
{
    upstream_row row;
    std::uint64_t sequence = 0;
    std::uint32_t cold_left_ms = 0;
};

/// An upstream has stopped, or is about to stop.
struct leave_request
{
    upstream_name id;
};

/// Replaces the configuration in force, or patches it.
struct configure_request
{
    /// Hash of the request as it was sent, by which a resend is recognised.
    std::uint64_t request_hash = 0;
    /// Version that the request is based on.
    config_version base;
    bool is_patch = false;
    /// The document as it was sent.
    std::string document;
};

/// A complete, checked configuration, and the document that it was read from.
struct decoded_config
{
    routing_config config;
    access_config access;
    std::string document;
};

struct read_config_request
{
};

struct evacuate_request
{
    failure_domain_name domain;
    bool restore = false;
};

/// Looks up the entry hosts for callers of a region and failure domain.
struct resolve_request
{
    region_name region;
    failure_domain_name domain;
};

struct metrics_request
{
};

using registry_request =
    std::variant<announce_request, leave_request, configure_request, read_config_request,
                 evacuate_request, resolve_request, metrics_request>;

/// Thread safety: all methods are thread safe.
class registry_protocol
{
public:
    virtual ~registry_protocol() = default;

    /// Reads a request. `unknown_place` is answered with 404, other errors with 400.
    virtual result<registry_request> read(http_request const& request) const = 0;
    /// Reads and checks a complete configuration.
    virtual result<decoded_config> decode(std::string const& document) const = 0;
    /// Applies a patch to the document in force, and checks the result.
    virtual result<decoded_config> merge(std::string const& current,
                                         std::string const& patch) const = 0;
    /// The answer of a look-up: entry hosts, and for how long callers may cache it.
    virtual http_response entries(std::vector<endpoint_text> const& endpoints,
                                  std::uint32_t keep_ms) const = 0;
};

} // namespace guavashed
