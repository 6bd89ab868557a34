/// \file
/// Defines how the outcome of one attempt at an upstream is judged: what the caller gets, whether
/// the request may be retried, and what the attempt indicates about the upstream.
#pragma once

#include <cstdint>

namespace guavashed
{

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
    /// The upstream states that it did not run the request.
    bool not_executed = false;
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

/// Whether callers read the status as a promise that the request has not run. Thread safe.
constexpr bool promises_not_run(unsigned status)
{
    return status == 408 || status == 429 || status == 503;
}

/// Whether an answer that may have run the request may be relayed to the caller as it is. Thread
/// safe; no preconditions.
constexpr bool may_relay_failure(attempt_end const& end)
{
    return end.answered && end.status >= 500 && !promises_not_run(end.status);
}

/// Decides what happens to the request after an attempt. Thread safe; no preconditions.
constexpr attempt_verdict judge(attempt_end const& end)
{
    constexpr unsigned status_misdirected = 421;
    if (end.unsent)
        return attempt_verdict::not_run;
    if (!end.answered)
        return attempt_verdict::may_have_run;
    if (end.status == status_misdirected)
        return attempt_verdict::not_run;
    if (end.not_executed)
        return end.status == 429 || end.status >= 500 ? attempt_verdict::not_run
                                                      : attempt_verdict::relay;
    bool const success = end.status >= 200 && end.status < 300;
    // A success without the signature did not come from the upstream itself.
    if (success && !end.is_signed)
        return attempt_verdict::may_have_run;
    if (end.status >= 500 || promises_not_run(end.status))
        return attempt_verdict::may_have_run;
    return attempt_verdict::relay;
}

/// What a verdict of `not_run` on the attempt rests on. Thread safe. Precondition: `judge(end)` is
/// `not_run`.
constexpr not_run_basis basis_of(attempt_end const& end)
{
    constexpr unsigned status_misdirected = 421;
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
    constexpr unsigned status_misdirected = 421;
    if (end.unsent)
        return attempt_result::unreachable;
    if (!end.answered)
        return attempt_result::failed;
    if (end.status == status_misdirected)
        return attempt_result::misdirected;
    if (verdict == attempt_verdict::not_run)
        return attempt_result::shed;
    return verdict == attempt_verdict::may_have_run ? attempt_result::failed
                                                    : attempt_result::answered;
}

} // namespace guavashed
