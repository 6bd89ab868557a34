/// \file
/// Defines ticket, the part of an idempotency key that the system issues and later finds again.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/instant.hpp"

#include <string>
#include <vector>

namespace guavashed
{

/// Names the hosts that record what becomes of a key, so that a resend through any entry host asks
/// the same ones, whatever has changed in between.
struct ticket
{
    std::vector<host_name> recorders;
    wall_instant issued;
    /// After this a request with the key is refused, not run, and its record may go.
    wall_instant expires;

    /// Recorders whose consent a claim needs. Thread safe.
    std::size_t quorum() const { return recorders.size() / 2 + 1; }
};

/// Text that a caller puts before its own unique part: "c1+c2+c3~issued~expires~". Thread safe.
std::string print_ticket(ticket const& item);

/// Reads the ticket at the front of a key; a key without one is an error. Thread safe.
result<ticket> parse_ticket(idempotency_key const& key);

} // namespace guavashed
