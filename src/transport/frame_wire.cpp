// Implements the encoding of frames: zlib compression and an XXH3 checksum.
#include "transport/frame_wire.hpp"

#include "base/invariant.hpp"

#include <cstring>
#include <xxhash.h>
#include <zlib.h>

namespace guavashed
{
namespace
{

constexpr std::uint32_t frame_magic = 0x32485347; // "GSH2"
/// Shorter payloads fit into one packet with or without compression.
constexpr std::size_t min_bytes_to_compress = 1200;

/// `payload` compressed; empty when compression does not shorten it.
std::string compress_payload(std::string const& payload)
{
    uLongf length = compressBound(payload.size());
    std::string out(length, '\0');
    auto const* from = reinterpret_cast<Bytef const*>(payload.data());
    auto* to = reinterpret_cast<Bytef*>(out.data());
    if (compress2(to, &length, from, payload.size(), Z_BEST_SPEED) != Z_OK)
        return {};
    if (length >= payload.size())
        return {};
    out.resize(length);
    return out;
}

} // namespace

std::string encode_frame(frame_type type, std::string const& payload)
{
    GUAVASHED_INVARIANT(payload.size() <= max_payload_bytes)
        << "frame payload of " << payload.size() << " bytes exceeds " << max_payload_bytes;
    std::string const compressed_payload =
        payload.size() >= min_bytes_to_compress ? compress_payload(payload) : "";
    std::string const& body = compressed_payload.empty() ? payload : compressed_payload;
    frame_header header{};
    header.magic = frame_magic;
    header.length = static_cast<std::uint32_t>(body.size());
    header.checksum = XXH3_64bits(body.data(), body.size());
    header.type = static_cast<std::uint16_t>(type);
    header.raw_length = compressed_payload.empty() ? 0 : static_cast<std::uint32_t>(payload.size());
    std::string out(sizeof header + body.size(), '\0');
    std::memcpy(out.data(), &header, sizeof header);
    std::memcpy(out.data() + sizeof header, body.data(), body.size());
    return out;
}

bool is_acceptable(frame_header const& header, std::size_t limit)
{
    return header.magic == frame_magic && header.length <= limit && header.raw_length <= limit;
}

std::optional<std::string> decode_payload(frame_header const& header, std::string&& payload)
{
    if (XXH3_64bits(payload.data(), payload.size()) != header.checksum)
        return std::nullopt;
    if (header.raw_length == 0)
        return std::move(payload);
    std::string out(header.raw_length, '\0');
    uLongf length = out.size();
    auto const* from = reinterpret_cast<Bytef const*>(payload.data());
    auto* to = reinterpret_cast<Bytef*>(out.data());
    if (uncompress(to, &length, from, payload.size()) != Z_OK || length != out.size())
        return std::nullopt;
    return out;
}

} // namespace guavashed
