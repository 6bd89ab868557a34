/// \file
/// Defines the messages between control hosts and entry hosts.
#pragma once

#include "routing/route_config.hpp"
#include "routing/upstream_row.hpp"

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <vector>

namespace guavashed
{

/// What an entry host says of itself: on opening a session, at each change, and as a heartbeat.
struct entry_report
{
    static constexpr std::uint16_t wire_version = 1;

    host_name host;
    endpoint_text caller_endpoint;
    region_name region;
    failure_domain_name domain;
    /// It takes callers.
    bool ready = false;
    /// Log index up to which its view holds all changes.
    std::uint64_t view_index = 0;
    /// It takes its view from this control host; others bring only what this one does not.
    bool is_source = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, caller_endpoint, region, domain, ready, view_index, is_source);
    }
};

struct upstream_change
{
    upstream_row row;
    std::uint32_t cold_left_ms = 0;
    bool gone = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(row, cold_left_ms, gone);
    }
};

/// What has changed in the fleet since an entry host's view.
struct fleet_changes
{
    static constexpr std::uint16_t wire_version = 1;

    /// Applies to views at `from` or later; brings them to `to`.
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    /// When set, `upstreams` lists all of them and others are gone.
    bool whole = false;
    std::optional<routing_config> config;
    std::vector<upstream_change> upstreams;
    std::vector<failure_domain_name> evacuated;
    /// Hashes of the names of entry hosts in session with the sender; empty when the receiver
    /// knows them.
    std::vector<std::uint64_t> entries;
    /// Endpoints of all control hosts; empty when the receiver knows them.
    std::vector<endpoint_text> controls;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(from, to, whole, config, upstreams, evacuated, entries, controls);
    }
};

/// A control host introduces itself to another one.
struct control_greeting
{
    static constexpr std::uint16_t wire_version = 1;

    host_name host;
    disk_id disk;
    /// It holds no log: its disk is new.
    bool blank = true;
    /// Control hosts that it knows.
    std::vector<host_name> known;
    /// Bytes of the group's founding snapshot, once it is founded.
    std::string founding;
    /// It is about to stop.
    bool leaving = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, disk, blank, known, founding, leaving);
    }
};

/// A read of the configuration that a follower passes to the leader, and the leader's answer.
struct config_read
{
    static constexpr std::uint16_t wire_version = 1;

    std::uint64_t number = 0;
    bool answered = false;
    std::string document;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, answered, document);
    }
};

/// Upstreams whose announcements a follower took since it last said so.
struct upstreams_heard
{
    static constexpr std::uint16_t wire_version = 1;

    std::vector<upstream_name> ids;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ids);
    }
};

} // namespace guavashed
