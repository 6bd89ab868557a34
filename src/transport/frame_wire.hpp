/// \file
/// Defines the encoding of a frame: a header with length and checksum, then the payload, which is
/// compressed where that makes it shorter.
#pragma once

#include "transport/frame_link.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace guavashed
{

/// Sent as it lies in memory: all hosts of a deployment are little-endian.
struct frame_header
{
    std::uint32_t magic;
    /// Payload bytes that follow.
    std::uint32_t length;
    /// XXH3 of the payload bytes that follow, after compression.
    std::uint64_t checksum;
    std::uint16_t type;
    std::uint16_t reserved;
    /// Payload bytes before compression; 0 when it is not compressed.
    std::uint32_t raw_length;
};
static_assert(sizeof(frame_header) == 24);

/// Longest payload, before compression.
constexpr std::size_t max_payload_bytes = 8 * 1024 * 1024;
/// Longest payload of a hello, which is the cluster key and a name.
constexpr std::size_t max_hello_bytes = 1024;

/// Header and payload of a frame. Precondition: `payload` is at most `max_payload_bytes` long.
/// Thread safe.
std::string encode_frame(frame_type type, std::string const& payload);

/// True when the header's magic is right and neither its length nor its uncompressed length
/// exceeds `limit` bytes; only then may memory be allocated for the payload. Thread safe.
bool is_acceptable(frame_header const& header, std::size_t limit);

/// The payload as it was passed to `encode_frame`; nothing when it does not match the header's
/// checksum or uncompressed length. Precondition: `is_acceptable(header, ...)`. Thread safe.
std::optional<std::string> decode_payload(frame_header const& header, std::string&& payload);

} // namespace guavashed
