/// \file
/// Defines what goes into and comes out of entry_core, the decisions of an entry host.
#pragma once

#include "base/instant.hpp"
#include "control/claim_book.hpp"
#include "control/fleet_messages.hpp"
#include "entry/claim_round.hpp"

#include <string>
#include <variant>
#include <vector>

namespace guavashed
{

/// A request as the decisions see it; its body stays with the I/O.
struct caller_request
{
    request_id id;
    service_name service;
    work_kind_name kind;
    caller_name caller;
    /// Empty for idempotent work.
    idempotency_key key;
    /// The caller states that it never sent this key before.
    bool first_try = false;
    instant deadline;
    std::uint64_t bytes = 0;
    /// Another entry host sent it on; it is not sent on again.
    bool forwarded = false;
};

/// How far a request got at an upstream.
enum class attempt_ending : std::uint8_t
{
    /// A whole answer that echoes the request's id.
    answered,
    /// The upstream said that it did not start the work.
    refused_unstarted,
    /// Not one byte left this host.
    unsent,
    /// Sent, and no whole answer of its own came back.
    lost
};

struct attempt_result
{
    attempt_ending ending = attempt_ending::lost;
    std::uint32_t status = 0;
    std::string body;
    std::string detail;
};

/// Ask the recorders to vote; the round's verdict comes back as `on_claim`.
struct start_claim
{
    request_id id;
    claim_request claim;
    std::vector<host_name> recorders;
    instant deadline;
};

/// Tell the recorders that an attempt was abandoned or settled.
struct record_claim
{
    claim_request claim;
    std::vector<host_name> recorders;
};

struct send_upstream
{
    request_id id;
    attempt_id attempt;
    endpoint_text endpoint;
    upstream_name upstream;
    work_kind_name kind;
    instant deadline;
    /// Later than this the upstream may have another home: it is then not sent.
    instant send_by;
    bool fresh_connection = false;
};

struct cancel_upstream
{
    attempt_id attempt;
};

struct send_forward
{
    request_id id;
    host_name host;
    endpoint_text peer_endpoint;
    instant deadline;
};

struct cancel_forward
{
    request_id id;
    host_name host;
};

/// The one answer to a request.
struct give_answer
{
    request_id id;
    outcome_kind outcome = outcome_kind::not_run;
    std::uint32_t status = 0;
    std::string body;
    burn_cause cause = burn_cause::none;
    std::string reason;
};

/// An upstream's state has changed: one line for the log.
struct report_change
{
    upstream_name upstream;
    std::string state;
};

using entry_action = std::variant<start_claim, record_claim, send_upstream, cancel_upstream,
                                  send_forward, cancel_forward, give_answer, report_change>;
using entry_actions = std::vector<entry_action>;

/// The answer to an upstream that announces itself.
struct announce_answer
{
    bool accepted = false;
    /// To be quoted in the next announcement.
    std::uint64_t acceptance = 0;
    host_name home;
    endpoint_text home_endpoint;
    /// How long this host may still send work: as the home, or, handing over, what is on its way.
    std::uint32_t lease_ms = 0;
    /// Other entry hosts that the upstream may turn to.
    std::vector<endpoint_text> others;
};

} // namespace guavashed
