/// \file
/// Defines an entry host's choice of the control host that it receives its view from.
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"

#include <optional>
#include <string>
#include <vector>

namespace guavashed
{

/// For a source to deliver the first view; that takes a few hundred milliseconds on the slowest
/// links. Also how long a source is kept at least.
constexpr milliseconds initial_view_timeout{1500};
/// For a source to learn of a new leader after others have, and for a status to arrive on a new
/// session: until then a source without a leader is kept, or all entry hosts would turn to the new
/// leader at once, and take their views from another region.
constexpr milliseconds leader_known_within{500};

struct source_candidate
{
    endpoint_text control;
    /// Its session is open.
    bool is_open = false;
    /// Its session has received something lately.
    bool is_heard = false;
    /// It follows a leader, as far as it has said; others deliver no views.
    bool has_leader = true;
    /// When a source without a leader is left for this one.
    instant preferred_from;
    std::chrono::microseconds round_trip{0};
    /// When it was chosen last; `instant()` if it never was.
    instant chosen_at;
};

struct current_source
{
    /// Empty while there is none.
    endpoint_text control;
    /// A view has arrived, from whichever control host.
    bool has_view = false;
    /// Earliest replacement by a nearer one; without a view, the time at which another is tried.
    instant until;
};

struct source_switch
{
    endpoint_text control;
    std::string reason;
};

/// Returns the next source, or nothing where the current one stays. The next one is the nearest
/// control host that is heard and follows a leader. It replaces a source that is silent at once,
/// one that follows no leader from `preferred_from` on, and one that works from `until` on if it is
/// much nearer. Without a view all control hosts that may have a leader are tried in turn, as one
/// that delivers none may be partitioned from the group without knowing it. Thread safe.
std::optional<source_switch> choose_source(std::vector<source_candidate> const& candidates,
                                           current_source const& source, instant now);

} // namespace guavashed
