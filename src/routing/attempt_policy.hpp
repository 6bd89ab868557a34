/// \file
/// Defines how the outcome of one attempt at an upstream is judged: what the caller gets, whether
/// the request may be retried, and what the attempt indicates about the upstream.
#pragma once

#include "base/response_status.hpp"

#include <cstdint>

namespace guavashed
{

/// What an answer states about the execution of its request.
enum class execution_statement : std::uint8_t
{
    none,
    /// The upstream has not run the request and will not.
    not_run,
    /// The statement is negated, or made twice with different values.
    unclear
};

/// Which upstream an answer names as its sender.
enum class answer_sender : std::uint8_t
{
    unnamed,
    /// The one that the request was sent to.
    target,
    other
};

/// Outcome of an attempt, reduced to what the verdict depends on.
struct attempt_end
{
    /// No byte of the request left this host.
    bool unsent = false;
    /// A complete response to this request was received.
    bool answered = false;
    unsigned status = 0;
    /// The response carries a valid signature of the upstream.
    bool is_signed = false;
    execution_statement statement = execution_statement::none;
    answer_sender sender = answer_sender::unnamed;
    /// Further bytes were received behind the response.
    bool has_surplus = false;
};

enum class attempt_verdict : std::uint8_t
{
    /// The response is forwarded to the caller unchanged.
    relay,
    /// The upstream did not run the request: another upstream may be tried, and the caller may be
    /// answered "not run".
    not_run,
    /// The upstream may have run the request; only an idempotent request may be retried.
    may_have_run
};

/// What the verdict `not_run` rests on.
enum class not_run_basis : std::uint8_t
{
    /// No byte of the request left this host.
    unsent,
    /// The upstream answered that the request was meant for another one.
    misdirected,
    /// The upstream's statement.
    stated
};

/// What an attempt indicates about the upstream.
enum class attempt_result : std::uint8_t
{
    answered,
    /// The upstream stated that it did not run the request.
    shed,
    /// A different upstream now listens at the address.
    misdirected,
    /// The request failed there, the connection broke, or no response came in time.
    failed,
    /// No connection could be established.
    unreachable,
    /// The caller disconnected; this indicates nothing about the upstream.
    abandoned
};

inline constexpr unsigned status_timed_out = 408;
inline constexpr unsigned status_misdirected = 421;
inline constexpr unsigned status_throttled = 429;
inline constexpr unsigned status_refused = 503;

/// Whether callers read the status as a promise that the request has not run. Thread safe.
constexpr bool promises_not_run(unsigned status)
{
    return status == status_timed_out || status == status_throttled || status == status_refused;
}

/// Whether an answer that may have run the request may be relayed to the caller as it is. Thread
/// safe; no preconditions.
constexpr bool may_relay_failure(attempt_end const& end)
{
    return end.answered && end.status >= 500 && is_response_status(end.status) &&
           !promises_not_run(end.status);
}

/// Whether the response proves that the upstream has not run the request and will not. Thread safe;
/// no preconditions.
constexpr bool proves_not_run(attempt_end const& end)
{
    // Only a run yields a signature, and the surplus may be the answer of a run.
    if (!end.answered || end.is_signed || end.has_surplus || !is_response_status(end.status))
        return false;
    if (end.status == status_misdirected)
        return end.sender != answer_sender::target && end.statement != execution_statement::unclear;
    return end.statement == execution_statement::not_run;
}

/// Whether the response refuses the request without proof that it was not run. Thread safe; no
/// preconditions.
constexpr bool is_unproven_refusal(attempt_end const& end)
{
    bool const refuses = end.status == status_misdirected || promises_not_run(end.status) ||
                         end.statement != execution_statement::none;
    return end.answered && refuses && !proves_not_run(end);
}

/// Decides what happens to the request after an attempt. Thread safe; no preconditions.
constexpr attempt_verdict judge(attempt_end const& end)
{
    if (end.unsent)
        return attempt_verdict::not_run;
    // http_client rejects a status that is not one of a response; if one got here, nothing that
    // the response says could be relied on.
    if (!end.answered || !is_response_status(end.status))
        return attempt_verdict::may_have_run;
    bool const is_refusal = end.status == status_misdirected || promises_not_run(end.status);
    if (is_refusal || end.status >= 500)
    {
        if (!proves_not_run(end))
            return attempt_verdict::may_have_run;
        return end.status == status_timed_out ? attempt_verdict::relay : attempt_verdict::not_run;
    }
    bool const success = end.status >= 200 && end.status < 300;
    // A success without the signature did not come from the upstream itself.
    return success && !end.is_signed ? attempt_verdict::may_have_run : attempt_verdict::relay;
}

/// What a verdict of `not_run` on the attempt rests on. Thread safe. Precondition: `judge(end)` is
/// `not_run`.
constexpr not_run_basis basis_of(attempt_end const& end)
{
    if (end.unsent)
        return not_run_basis::unsent;
    return end.status == status_misdirected ? not_run_basis::misdirected : not_run_basis::stated;
}

/// Name of the basis in log lines. Thread safe; no preconditions.
constexpr char const* to_string(not_run_basis basis)
{
    switch (basis)
    {
    case not_run_basis::unsent:
        return "unsent";
    case not_run_basis::misdirected:
        return "misdirected";
    case not_run_basis::stated:
        return "stated";
    }
    return "unknown";
}

/// Derives what the attempt indicates about the upstream; `verdict` is that of `judge(end)`. Thread
/// safe; no preconditions.
constexpr attempt_result classify(attempt_end const& end, attempt_verdict verdict)
{
    if (end.unsent)
        return attempt_result::unreachable;
    if (!end.answered)
        return attempt_result::failed;
    if (verdict == attempt_verdict::not_run)
        return end.status == status_misdirected ? attempt_result::misdirected
                                                : attempt_result::shed;
    return verdict == attempt_verdict::may_have_run ? attempt_result::failed
                                                    : attempt_result::answered;
}

} // namespace guavashed
