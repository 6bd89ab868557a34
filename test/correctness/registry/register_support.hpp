/// \file
/// Defines a register and commands shared by its tests.
#pragma once

#include "../routing/routing_support.hpp"
#include "base/codec.hpp"
#include "fleet/fleet_register.hpp"

#include <string>

namespace guavashed
{

/// A register that assigns log indexes itself.
struct driven_register
{
    fleet_register state;
    std::uint64_t index = 0;

    register_outcome apply(register_command command, std::int64_t now_ms = 0)
    {
        return state.apply(log_index(++index), command, at_ms(now_ms));
    }
};

inline register_command configure(std::uint64_t base, std::uint64_t version, std::uint64_t hash)
{
    register_command command;
    command.kind = register_command_kind::configure;
    command.base = config_version(base);
    command.config = roster_config(version);
    command.document = "document " + std::to_string(version);
    command.request_hash = hash;
    return command;
}

/// A message as version 1 of it was written.
template <class Message>
struct as_version_1
{
    static constexpr std::uint16_t wire_version = 1;

    Message message;

    template <class Archive>
    void serialize(Archive& archive)
    {
        message.read_version(archive, wire_version);
    }
};

} // namespace guavashed
