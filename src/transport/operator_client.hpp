/// \file
/// Defines operator_client, with which a tool makes blocking calls to operator ports.
#pragma once

#include "base/event_loop.hpp"
#include "transport/http_client.hpp"

#include <memory>
#include <string>
#include <vector>

namespace guavashed
{

/// Calls the operator ports of control and entry hosts. Thread safety: one thread at a time.
class operator_client
{
public:
    operator_client(std::vector<endpoint_text> control, std::string key);

    /// Tries control hosts in turn, following redirections to the leader, until one answers or 20 s
    /// have passed. A 4xx answer is returned like any other, except 421 (not the leader). An error
    /// is the last failed attempt: no answer, 421 or 5xx.
    result<http_response> ask_control(std::string const& method, std::string const& path,
                                      std::string const& body = {});
    /// Sends one request to one host, without retries. Times out after 6 s.
    result<http_response> ask(endpoint_text const& where, std::string const& method,
                              std::string const& path, std::string const& body = {});

private:
    std::vector<endpoint_text> control_;
    std::string key_;
    /// The host that answered last, or the leader that one named; tried first next time.
    std::optional<endpoint_text> leader_;
    std::size_t next_ = 0;
    event_loop event_loop_;
    http_client client_;
};

} // namespace guavashed
