/// \file
/// Defines the identifiers and units shared by messages, settings and decisions.
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
/// A customer that shares the deployment with others and is told apart by its keys.
using workspace_name = strong_type<struct workspace_name_tag, std::string>;
using caller_name = strong_type<struct caller_name_tag, std::string>;
using idempotency_key = strong_type<struct idempotency_key_tag, std::string>;
using operation_id = strong_type<struct operation_id_tag, std::string>;
using disk_id = strong_type<struct disk_id_tag, std::uint64_t>;

/// Identifies one run of a process: a restarted process has a higher incarnation, and messages from
/// lower incarnations are discarded.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;
using config_version = strong_type<struct config_version_tag, std::uint64_t>;
using request_id = strong_type<struct request_id_tag, std::uint64_t>;
using attempt_id = strong_type<struct attempt_id_tag, std::uint64_t>;
using block_index = strong_type<struct block_index_tag, std::uint32_t>;
using site_index = strong_type<struct site_index_tag, std::uint8_t>;

/// Pieces of work that an upstream, a host or a region may run concurrently.
using slot_count = strong_type<struct slot_count_tag, std::uint32_t>;
using bytes_per_second = strong_type<struct bytes_per_second_tag, std::uint64_t>;

/// A share in thousandths of the whole.
using permille = strong_type<struct permille_tag, std::uint32_t>;

/// Priority of work; a lower value is served first.
enum class rank : std::uint8_t
{
    urgent = 0,
    normal = 1,
    archive = 2
};
inline constexpr std::size_t rank_count = 3;

/// Index of a rank in per-rank arrays. No preconditions; thread safe.
constexpr std::size_t index_of(rank r)
{
    return static_cast<std::size_t>(r);
}

/// A numeric IP address and port, such as "127.0.0.1:7000"; not validated.
using endpoint_text = strong_type<struct endpoint_text_tag, std::string>;

} // namespace guavashed
