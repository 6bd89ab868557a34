/// \file
/// Defines the input events and output actions of entry_core, the state machine of an entry host.
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

/// The part of a request that entry_core needs; the I/O layer keeps the body.
struct caller_request
{
    request_id id;
    service_name service;
    work_kind_name kind;
    caller_name caller;
    /// Empty for idempotent work.
    idempotency_key key;
    /// The caller asserts that it has never sent this key before.
    bool first_try = false;
    instant deadline;
    std::uint64_t bytes = 0;
    /// Received from another entry host; it is not forwarded a second time.
    bool forwarded = false;
};

/// How far a request got at an upstream.
enum class attempt_ending : std::uint8_t
{
    /// A complete answer that echoes the request's id.
    answered,
    /// The upstream reported that it did not start the work.
    refused_unstarted,
    /// No byte was sent.
    unsent,
    /// Sent, but no complete answer with the request's id was received.
    lost
};

struct attempt_result
{
    attempt_ending ending = attempt_ending::lost;
    std::uint32_t status = 0;
    std::string body;
    std::string detail;
};

/// Asks the recorders to vote; the verdict is passed to `entry_core::on_claim`.
struct start_claim
{
    request_id id;
    claim_request claim;
    std::vector<host_name> recorders;
    instant deadline;
};

/// Reports to the recorders that an attempt was abandoned, or settled with its answer.
struct record_claim
{
    claim_request claim;
    std::vector<host_name> recorders;
};

/// Sends one attempt to an upstream.
struct send_upstream
{
    request_id id;
    attempt_id attempt;
    endpoint_text endpoint;
    upstream_name upstream;
    work_kind_name kind;
    instant deadline;
    /// Not sent after this time: the upstream may have another home by then.
    instant send_by;
    bool fresh_connection = false;
};

/// Cancels an attempt by closing its connection.
struct cancel_upstream
{
    attempt_id attempt;
};

/// Forwards a request to another entry host.
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

/// The only answer to a request.
struct give_answer
{
    request_id id;
    outcome_kind outcome = outcome_kind::not_run;
    std::uint32_t status = 0;
    std::string body;
    burn_cause cause = burn_cause::none;
    std::string reason;
};

/// Logs that an upstream's state has changed.
struct report_change
{
    upstream_name upstream;
    std::string state;
};

using entry_action = std::variant<start_claim, record_claim, send_upstream, cancel_upstream,
                                  send_forward, cancel_forward, give_answer, report_change>;
using entry_actions = std::vector<entry_action>;

/// The answer to an upstream's announcement.
struct announce_answer
{
    bool accepted = false;
    /// Number that the upstream must quote in its next announcement to renew the lease.
    std::uint64_t acceptance = 0;
    host_name home;
    endpoint_text home_endpoint;
    /// How long this host may still send work: its lease as the home or, on a hand-over, the time
    /// for work that is already on its way.
    std::uint32_t lease_ms = 0;
    /// Other entry hosts to which the upstream can announce itself.
    std::vector<endpoint_text> others;
};

} // namespace guavashed
