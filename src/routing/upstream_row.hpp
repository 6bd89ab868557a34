/// \file
/// Defines upstream_row, what an upstream announced of itself.
#pragma once

#include "base/ids.hpp"

#include <cereal/types/string.hpp>

namespace guavashed
{

struct upstream_row
{
    upstream_name id;
    service_name service;
    endpoint_text address;
    failure_domain_name domain;
    std::uint32_t slots = 1;
    /// It takes no new work.
    bool draining = false;
    /// When it started, in milliseconds of its wall clock; tells its lives under one id apart.
    std::int64_t born_ms = 0;

    bool operator==(upstream_row const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, service, address, domain, slots, draining, born_ms);
    }
};

} // namespace guavashed
