/// \file
/// Defines registry_protocol, how upstreams, operators and look-ups speak to a control host.
#pragma once

#include "fleet/register_command.hpp"
#include "transport/http_message.hpp"

#include <string>
#include <variant>
#include <vector>

namespace guavashed
{

/// An upstream renews its announcement.
struct announce_order
{
    upstream_row row;
    std::uint64_t sequence = 0;
    std::uint32_t cold_left_ms = 0;
};

/// An upstream is gone, or about to go.
struct leave_order
{
    upstream_name id;
};

/// A whole configuration, or a patch of the one in force.
struct configure_order
{
    std::uint64_t order_hash = 0;
    config_version base;
    bool is_patch = false;
    /// The document as it was sent.
    std::string document;
};

/// A configuration that was read in full.
struct decoded_config
{
    routing_config config;
    std::string document;
};

struct read_config_order
{
};

struct evacuate_order
{
    failure_domain_name domain;
    bool restore = false;
};

/// Which entry hosts should a caller there use?
struct resolve_order
{
    region_name region;
    failure_domain_name domain;
};

struct metrics_order
{
};

using registry_order = std::variant<announce_order, leave_order, configure_order, read_config_order,
                                    evacuate_order, resolve_order, metrics_order>;

/// Thread safety: all methods are thread safe.
class registry_protocol
{
public:
    virtual ~registry_protocol() = default;

    /// Reads a request. `invalid_document` is answered 400, `unknown_place` 404.
    virtual result<registry_order> read(http_request const& request) const = 0;
    /// Reads a whole configuration and checks it.
    virtual result<decoded_config> decode(std::string const& document) const = 0;
    /// Applies a patch to the document in force, and checks the result.
    virtual result<decoded_config> merge(std::string const& current,
                                         std::string const& patch) const = 0;
    /// The answer that names entry hosts, and for how long callers may keep it.
    virtual http_response entries(std::vector<endpoint_text> const& endpoints,
                                  std::uint32_t keep_ms) const = 0;
};

} // namespace guavashed
