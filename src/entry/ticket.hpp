/// \file
/// Defines ticket, the part of an idempotency key that an entry host issues with a look-up answer.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/instant.hpp"

#include <string>
#include <vector>

namespace guavashed
{

/// Names the hosts (recorders) that store the outcome of a key, so that a retry through any entry
/// host asks the same ones, even if the fleet has changed in between.
struct ticket
{
    std::vector<host_name> recorders;
    wall_instant issued;
    /// After this time a request with the key is refused without being run, and the recorders may
    /// delete its record.
    wall_instant expires;

    /// Number of recorders that must grant a claim: a majority. Thread safe.
    std::size_t quorum() const { return recorders.size() / 2 + 1; }
};

/// The prefix of a key, to which the caller appends its own unique part:
/// "c1+c2+c3~issued~expires~", times in milliseconds since the epoch. Thread safe.
std::string print_ticket(ticket const& item);

/// Parses the ticket at the start of a key. Fails with `invalid_request` when the key has none, has
/// no part of the caller's own or is malformed. Thread safe.
result<ticket> parse_ticket(idempotency_key const& key);

} // namespace guavashed
