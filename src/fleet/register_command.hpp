/// \file
/// Defines the commands of the fleet register and their outcomes.
#pragma once

#include "access/access_config.hpp"
#include "control/raft_messages.hpp"
#include "routing/route_config.hpp"
#include "routing/upstream_row.hpp"

#include <cereal/types/string.hpp>
#include <compare>
#include <limits>
#include <string>

namespace guavashed
{

/// Identifies a command, so that the process that accepted it recognises it when it is applied.
struct command_ticket
{
    host_name origin;
    /// Incarnation of the origin process: after a restart, the log replays commands that earlier
    /// incarnations accepted under the same numbers.
    incarnation origin_incarnation;
    std::uint64_t number = 0;

    auto operator<=>(command_ticket const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(origin, origin_incarnation, number);
    }
};

/// Issues the tickets of one process incarnation. Thread safety: none.
class ticket_source
{
public:
    explicit ticket_source(host_name origin);

    command_ticket next();
    /// True when this incarnation issued the ticket.
    bool issued(command_ticket const& ticket) const;

private:
    command_ticket last_;
};

enum class register_command_kind : std::uint8_t
{
    configure = 0,
    announce = 1,
    leave = 2,
    /// The upstream missed its announcements; it may announce itself again.
    forget = 3,
    evacuate = 4,
    restore = 5
};

struct register_command
{
    static constexpr std::uint16_t wire_version = 3;
    static constexpr std::uint16_t oldest_wire_version = 1;

    /// `known_index` of commands that apply whatever changed before them.
    static constexpr log_index any_index{std::numeric_limits<std::uint64_t>::max()};

    register_command_kind kind = register_command_kind::announce;
    command_ticket ticket;
    /// configure: hash of the request as it was sent, by which a resend is recognised.
    std::uint64_t request_hash = 0;
    /// configure: version that the request is based on.
    config_version base;
    routing_config config;
    /// configure: the document as operators read it back.
    std::string document;
    /// announce, leave and forget.
    upstream_row upstream;
    /// announce: incremented with each announcement of one incarnation.
    std::uint64_t sequence = 0;
    /// announce: remaining warm-up time of the upstream.
    std::uint32_t cold_left_ms = 0;
    /// evacuate and restore.
    failure_domain_name domain;
    /// evacuate, restore and leave: log index that the accepting host had applied. A copy of the
    /// order that is committed after a later order on the same subject has no effect.
    log_index known_index = any_index;
    /// configure: read from the same document as `config`.
    access_config access;

    template <class Archive>
    void serialize(Archive& archive)
    {
        read_version(archive, wire_version);
    }
    /// Version 1 had no `known_index`, and version 2 no `access`.
    template <class Archive>
    void read_version(Archive& archive, std::uint16_t version)
    {
        archive(kind, ticket, request_hash, base, config, document, upstream, sequence,
                cold_left_ms, domain);
        if (version >= 2)
            archive(known_index);
        if (version >= 3)
            archive(access);
    }
};

enum class register_outcome : std::uint8_t
{
    accepted = 0,
    /// The version in force is not the one that the request is based on.
    conflict = 1,
    /// The version is not above the one in force.
    stale_version = 2,
    /// The host that accepted the order didn't know a later change of its subject.
    outdated = 3
};

} // namespace guavashed
