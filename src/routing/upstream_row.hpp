/// \file
/// Defines upstream_row, the registration of an upstream.
#pragma once

#include "base/ids.hpp"

#include <cereal/types/string.hpp>

namespace guavashed
{

/// What an upstream announces about itself.
struct upstream_row
{
    upstream_name id;
    service_name service;
    endpoint_text address;
    failure_domain_name domain;
    /// Number of requests that it runs concurrently.
    std::uint32_t slots = 1;
    /// It accepts no new requests.
    bool draining = false;
    /// Start time in milliseconds of the upstream's wall clock; distinguishes incarnations with the
    /// same id.
    std::int64_t born_ms = 0;

    bool operator==(upstream_row const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, service, address, domain, slots, draining, born_ms);
    }
};

} // namespace guavashed
