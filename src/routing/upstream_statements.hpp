/// \file
/// Defines upstream_statements, what upstreams have said of themselves in their answers.
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"

#include <cstdint>
#include <map>

namespace guavashed
{

/// What one incarnation of an upstream has said to this host.
struct upstream_statement
{
    /// It leaves, and is to get no further requests.
    bool is_leaving = false;
    /// It wants no requests from this host until then.
    instant paused_until;
};

/// When the pause ends that an upstream asked for at `now`, bounded against a faulty upstream and
/// spread, since the hosts that it refused in the same moment would all come back together.
/// `unit_random` is uniform in [0, 1). Thread safe.
instant pause_end(instant now, milliseconds asked, double unit_random);

/// Statements by incarnation. They hold whatever the fleet view says, and outlive a removal from
/// the view for a while: an upstream that was removed for missed announcements may come back. The
/// number of statements is bounded. Thread safety: none; owned by the entry's event loop.
class upstream_statements
{
public:
    void note_leaving(upstream_name const& id, std::int64_t born_ms, instant now);
    /// A pause never ends before one that the incarnation asked for earlier.
    void note_pause(upstream_name const& id, std::int64_t born_ms, instant until, instant now);

    /// What the incarnation has said; nothing stated by default.
    upstream_statement find(upstream_name const& id, std::int64_t born_ms) const;

    /// Reports that the view holds the incarnation; statements of earlier ones are dropped.
    void note_registered(upstream_name const& id, std::int64_t born_ms);
    /// Reports that the view doesn't hold the incarnation, or no longer.
    void note_removed(upstream_name const& id, std::int64_t born_ms, instant now);
    /// Drops statements of upstreams that were removed long ago.
    void trim(instant now);

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        std::int64_t born_ms = 0;
        upstream_statement statement = {};
        instant noted_at = {};
        instant drop_at = instant::max();
    };
    entry* entry_of(upstream_name const& id, std::int64_t born_ms, instant now);

    std::map<upstream_name, entry> entries_;
};

} // namespace guavashed
