/// \file
/// Defines the messages between control hosts and entry hosts.
#pragma once

#include "access/access_config.hpp"
#include "routing/route_config.hpp"
#include "routing/upstream_row.hpp"

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <vector>

namespace guavashed
{

/// State of an entry host, sent on opening a session, at each change, and as a heartbeat.
struct entry_report
{
    static constexpr std::uint16_t wire_version = 1;

    host_name host;
    endpoint_text caller_endpoint;
    region_name region;
    failure_domain_name domain;
    /// It accepts callers' requests.
    bool ready = false;
    /// Log index up to which its view contains all changes.
    std::uint64_t view_index = 0;
    /// It receives its view from this control host; others push only what this one fails to
    /// deliver.
    bool is_source = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, caller_endpoint, region, domain, ready, view_index, is_source);
    }
};

/// An upstream that was registered, changed or removed.
struct upstream_change
{
    upstream_row row;
    /// Remaining warm-up time; 0 when the upstream is warm.
    std::uint32_t cold_left_ms = 0;
    bool gone = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(row, cold_left_ms, gone);
    }
};

/// Changes of the fleet since an entry host's view.
struct fleet_changes
{
    static constexpr std::uint16_t wire_version = 2;
    /// Control hosts of an earlier version may be the source during an upgrade.
    static constexpr std::uint16_t oldest_wire_version = 1;

    /// Log indexes: applies to views at `from` or later, which are at `to` afterwards.
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    /// When set, `upstreams` is the complete list and others are removed.
    bool whole = false;
    std::optional<routing_config> config;
    std::vector<upstream_change> upstreams;
    std::vector<failure_domain_name> evacuated;
    /// Hashes of the names of the entry hosts in session with the sender, also of those that have
    /// no view yet: they divide budgets with the others as soon as they have one. Empty when the
    /// list is not sent.
    std::vector<std::uint64_t> entries;
    /// Endpoints of control hosts from those of earlier versions; `control_status` tells them now.
    std::vector<endpoint_text> controls;
    /// Only when it changed since `from`: most changes leave it as it is, and with thousands of
    /// keys it is long.
    std::optional<access_config> access;

    template <class Archive>
    void serialize(Archive& archive)
    {
        read_version(archive, wire_version);
    }
    /// Version 1 had no `access`.
    template <class Archive>
    void read_version(Archive& archive, std::uint16_t version)
    {
        archive(from, to, whole, config, upstreams, evacuated, entries, controls);
        if (version >= 2)
            archive(access);
    }
};

/// State of a control host, sent to the other ones at short intervals.
struct control_greeting
{
    static constexpr std::uint16_t wire_version = 1;

    host_name host;
    disk_id disk;
    /// It has no log: its disk is new.
    bool blank = true;
    /// Control hosts from which it received a greeting recently.
    std::vector<host_name> known;
    /// The encoded founding snapshot, once the group is founded.
    std::string founding;
    /// It is about to stop.
    bool leaving = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, disk, blank, known, founding, leaving);
    }
};

/// A read of the configuration that a follower forwards to the leader, and the leader's answer.
struct config_read
{
    static constexpr std::uint16_t wire_version = 1;

    /// Matches the answer to the read.
    std::uint64_t number = 0;
    bool answered = false;
    std::string document;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, answered, document);
    }
};

/// Upstreams whose announcements a follower received since its last such message.
struct announced_upstreams
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
