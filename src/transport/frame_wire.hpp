/// \file
/// Defines the bytes of a frame: a header with length and checksum, and a payload that is
/// compressed where that pays.
#pragma once

#include "transport/frame_link.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace guavashed
{

/// Little-endian, as all hosts of a deployment are.
struct frame_header
{
    std::uint32_t magic;
    /// Payload bytes that follow.
    std::uint32_t length;
    /// XXH3 of the payload as it follows.
    std::uint64_t checksum;
    std::uint16_t type;
    std::uint16_t reserved;
    /// Payload bytes before compression; 0 when it is not compressed.
    std::uint32_t raw_length;
};
static_assert(sizeof(frame_header) == 24);

/// Longest payload, before compression.
constexpr std::size_t max_payload_bytes = 8 * 1024 * 1024;
/// A hello is a key and a name.
constexpr std::size_t max_hello_bytes = 1024;

/// Header and payload of a frame. Precondition: `payload` is at most `max_payload_bytes` long.
/// Thread safe.
std::string encode_frame(frame_type type, std::string const& payload);

/// Whether a payload may be read after that header. Thread safe.
bool is_acceptable(frame_header const& header, std::size_t limit);

/// The payload as it was given to `encode_frame`; nothing when the bytes are not what the header
/// says. Precondition: `is_acceptable(header, ...)`. Thread safe.
std::optional<std::string> decode_payload(frame_header const& header, std::string&& payload);

} // namespace guavashed
