/// \file
/// Defines attempt_policy, what follows from how one attempt at an upstream ended.
#pragma once

#include <cstdint>

namespace guavashed
{

/// How an attempt ended, as far as the next step depends on it.
struct attempt_end
{
    /// No byte of the request left this host.
    bool unsent = false;
    /// A whole answer to this request came.
    bool answered = false;
    unsigned status = 0;
    /// The answer bears the upstream's signature.
    bool is_signed = false;
    /// The upstream states that it did not run the request.
    bool not_executed = false;
};

enum class attempt_verdict : std::uint8_t
{
    /// The answer goes to the caller as it is.
    relay,
    /// It has not run there: another upstream may be tried, and "not run" may be said.
    not_run,
    /// It may have run there; an idempotent request may be tried again.
    may_have_run
};

/// What an attempt tells of the upstream.
enum class attempt_result : std::uint8_t
{
    answered,
    /// The upstream stated that it did not run it.
    shed,
    /// Another upstream has the address now.
    misdirected,
    /// It ran and failed, broke off, or gave no answer in time.
    failed,
    /// No connection came about.
    unreachable,
    /// The caller left: that tells nothing.
    abandoned
};

/// Thread safe; no preconditions.
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
    // A success without a signature is not the upstream's answer.
    if (success && !end.is_signed)
        return attempt_verdict::may_have_run;
    if (end.status >= 500)
        return attempt_verdict::may_have_run;
    return attempt_verdict::relay;
}

/// Thread safe; no preconditions.
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
