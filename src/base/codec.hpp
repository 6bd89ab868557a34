/// \file
/// Defines encode and decode, cereal's portable binary form of a message as bytes and back.
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

/// Bytes of `message`, led by the message's own version number. Thread safe.
template <class Message>
std::string encode(Message const& message)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(Message::wire_version, const_cast<Message&>(message));
    return std::move(out).str();
}

/// Reads a message; short, foreign or over-long bytes are a typed error. Thread safe.
/// Precondition: the frame that brought `bytes` had a capped length.
template <class Message>
result<Message> decode(std::string_view bytes, std::string const& peer)
{
    try
    {
        std::istringstream in{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(in);
        std::uint16_t version = 0;
        archive(version);
        if (version != Message::wire_version)
            return fail(error_code::invalid_frame, "decode", peer,
                        "message version " + std::to_string(version) + " is not known");
        Message message;
        archive(message);
        return message;
    }
    catch (std::exception const& problem)
    {
        return fail(error_code::invalid_frame, "decode", peer, problem.what());
    }
}

} // namespace guavashed
