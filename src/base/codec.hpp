/// \file
/// Defines encode and decode, which convert a message to and from cereal's portable binary format.
#pragma once

#include "base/error.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>
#include <string>

namespace guavashed
{

/// A message that is stored on disks declares `oldest_wire_version` and `read_version`, which reads
/// the fields that an older version had.
template <class Message>
concept reads_older_versions = requires
{
    Message::oldest_wire_version;
};

/// Serializes `message`, prefixed with its `wire_version`. Thread safe.
template <class Message>
std::string encode(Message const& message)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(Message::wire_version, const_cast<Message&>(message));
    return std::move(out).str();
}

/// Deserializes a message. Truncated or malformed bytes, or a version that the message doesn't
/// read, give `invalid_frame`. Thread safe.
/// Precondition: the length of the frame that carried `bytes` was limited.
template <class Message>
result<Message> decode(std::string_view bytes, std::string const& peer)
{
    try
    {
        std::istringstream in{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(in);
        std::uint16_t version = 0;
        archive(version);
        Message message;
        if constexpr (reads_older_versions<Message>)
            if (version >= Message::oldest_wire_version && version < Message::wire_version)
            {
                message.read_version(archive, version);
                return message;
            }
        if (version != Message::wire_version)
            return fail(error_code::invalid_frame, "decode", peer,
                        "unsupported message version " + std::to_string(version) + ", expected " +
                            std::to_string(Message::wire_version));
        archive(message);
        return message;
    }
    catch (std::exception const& problem)
    {
        return fail(error_code::invalid_frame, "decode", peer, problem.what());
    }
}

} // namespace guavashed
