/// \file
/// Defines the ids and units that messages, settings and decisions share.
#pragma once

#include "base/strong_type.hpp"

#include <cstdint>
#include <string>

namespace guavashed
{

using host_name = strong_type<struct host_name_tag, std::string>;
using region_name = strong_type<struct region_name_tag, std::string>;
using failure_domain_name = strong_type<struct failure_domain_name_tag, std::string>;
using service_name = strong_type<struct service_name_tag, std::string>;
using work_kind_name = strong_type<struct work_kind_name_tag, std::string>;
using upstream_name = strong_type<struct upstream_name_tag, std::string>;
using caller_name = strong_type<struct caller_name_tag, std::string>;
using idempotency_key = strong_type<struct idempotency_key_tag, std::string>;
using operation_id = strong_type<struct operation_id_tag, std::string>;
using disk_id = strong_type<struct disk_id_tag, std::uint64_t>;

/// A process's life: a restarted process has a higher incarnation and its older messages are void.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;
using config_version = strong_type<struct config_version_tag, std::uint64_t>;
using request_id = strong_type<struct request_id_tag, std::uint64_t>;
using attempt_id = strong_type<struct attempt_id_tag, std::uint64_t>;
using block_index = strong_type<struct block_index_tag, std::uint32_t>;
using site_index = strong_type<struct site_index_tag, std::uint8_t>;

/// Concurrent pieces of work that an upstream, a host or a region carries.
using slot_count = strong_type<struct slot_count_tag, std::uint32_t>;
using bytes_per_second = strong_type<struct bytes_per_second_tag, std::uint64_t>;

/// A share in thousandths.
using permille = strong_type<struct permille_tag, std::uint32_t>;

/// Importance of work; a lower value is served first.
enum class rank : std::uint8_t
{
    urgent = 0,
    normal = 1,
    archive = 2
};
inline constexpr std::size_t rank_count = 3;

/// Position of a rank in per-rank arrays. No preconditions; thread safe.
constexpr std::size_t index_of(rank r)
{
    return static_cast<std::size_t>(r);
}

/// An IP address and port, written "127.0.0.1:7000".
using endpoint_text = strong_type<struct endpoint_text_tag, std::string>;

} // namespace guavashed
