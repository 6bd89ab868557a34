/// \file
/// Defines error, which carries the step and the peer at which it arose, and result.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <ostream>
#include <string>

namespace guavashed
{

enum class error_code
{
    invalid_setting,
    invalid_document,
    invalid_frame,
    invalid_request,
    invalid_chart,
    unknown_place,
    conflict,
    expired,
    not_leader,
    unavailable,
    io_failure,
    corrupt_file,
    refused,
    overloaded,
    timeout,
    unauthorized
};

/// The code's name as logs and answers show it. Thread safe.
char const* to_string(error_code code);

/// What went wrong, at which step, with which peer (empty when no peer took part).
struct error
{
    error_code code = error_code::invalid_request;
    std::string step;
    std::string peer;
    std::string detail;
};

/// One line for people: "code at step with peer: detail". Thread safe.
std::string to_string(error const& failure);

template <class T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// Builds an error in place. Example: `return fail(error_code::timeout, "connect", peer, "...");`
inline error fail(error_code code, std::string step, std::string peer, std::string detail)
{
    return error{code, std::move(step), std::move(peer), std::move(detail)};
}

} // namespace guavashed
