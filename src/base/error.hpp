/// \file
/// Defines error, which records the failed step and the peer involved, and result, a value or an
/// error.
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

/// The code's name in logs and responses. Thread safe.
char const* to_string(error_code code);

/// A failure: its code, the step that failed, the peer or subject involved (empty when there is
/// none) and a detail for people.
struct error
{
    error_code code = error_code::invalid_request;
    std::string step;
    std::string peer;
    std::string detail;
};

/// Formats the error as "code at step with peer: detail". Thread safe.
std::string to_string(error const& failure);

/// A `T` or an error; reading the one that is absent terminates the process.
template <class T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// Builds an error to return. Example: `return fail(error_code::timeout, "connect", peer, "...");`
inline error fail(error_code code, std::string step, std::string peer, std::string detail)
{
    return error{code, std::move(step), std::move(peer), std::move(detail)};
}

} // namespace guavashed
