/// \file
/// Defines check_request_head, which rejects request heads that two HTTP implementations may frame
/// differently.
#pragma once

#include <cstddef>
#include <string_view>

namespace guavashed
{

enum class head_verdict
{
    /// The head's end has not arrived.
    incomplete,
    well_formed,
    /// No end of the head within the size limit.
    too_large,
    malformed
};

struct head_check
{
    head_verdict verdict = head_verdict::incomplete;
    /// Why the head is malformed; a string literal, otherwise empty.
    std::string_view reason;
};

/// Checks the head at the start of `bytes`: size, line folding, `Transfer-Encoding`,
/// `Content-Length` and `Host`. A header parser checks the syntax of the lines themselves. Thread
/// safe.
head_check check_request_head(std::string_view bytes, std::size_t max_bytes);

} // namespace guavashed
