/// \file
/// Defines the commands of the fleet register and their outcomes.
#pragma once

#include "routing/route_config.hpp"
#include "routing/upstream_row.hpp"

#include <cereal/types/string.hpp>
#include <compare>
#include <string>

namespace guavashed
{

/// Names a command, so that the process that took it knows it again when it is applied.
struct command_ticket
{
    host_name origin;
    /// The process's life: after a restart the log brings back what earlier lives have taken.
    incarnation origin_incarnation;
    std::uint64_t number = 0;

    auto operator<=>(command_ticket const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(origin, origin_incarnation, number);
    }
};

/// Gives out the tickets of one process's life. Thread safety: none.
class ticket_source
{
public:
    explicit ticket_source(host_name origin);

    command_ticket next();
    /// True when this life has given it out.
    bool issued(command_ticket const& ticket) const;

private:
    command_ticket last_;
};

enum class register_command_kind : std::uint8_t
{
    configure = 0,
    announce = 1,
    leave = 2,
    /// The upstream has been silent; it may announce itself again.
    forget = 3,
    evacuate = 4,
    restore = 5
};

struct register_command
{
    static constexpr std::uint16_t wire_version = 1;

    register_command_kind kind = register_command_kind::announce;
    command_ticket ticket;
    /// configure: hash of the order as it was sent, by which a resend is known.
    std::uint64_t order_hash = 0;
    /// configure: version that the order builds on.
    config_version base;
    routing_config config;
    /// configure: the document as operators read it back.
    std::string document;
    /// announce, leave and forget.
    upstream_row upstream;
    /// announce: counts up with each announcement of one life.
    std::uint64_t sequence = 0;
    /// announce: how long the upstream stays cold.
    std::uint32_t cold_left_ms = 0;
    /// evacuate and restore.
    failure_domain_name domain;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, ticket, order_hash, base, config, document, upstream, sequence, cold_left_ms,
                domain);
    }
};

enum class register_outcome : std::uint8_t
{
    accepted = 0,
    /// Another version of the configuration is in force than the order builds on.
    conflict = 1,
    /// The version is not above the one in force.
    stale_version = 2
};

} // namespace guavashed
