/// \file
/// Defines operator_client, blocking calls of a tool to the operators' ports.
#pragma once

#include "base/duty.hpp"
#include "transport/http_client.hpp"

#include <memory>
#include <string>
#include <vector>

namespace guavashed
{

/// Thread safety: one thread at a time.
class operator_client
{
public:
    operator_client(std::vector<endpoint_text> control, std::string key);

    /// Asks control hosts in turn until one answers, and goes to the leader when told to. A 4xx
    /// answer is returned like any other; only silence is an error.
    result<http_response> ask_control(std::string const& method, std::string const& path,
                                      std::string const& body = {});
    /// Asks one host. No retry.
    result<http_response> ask(endpoint_text const& where, std::string const& method,
                              std::string const& path, std::string const& body = {});

private:
    std::vector<endpoint_text> control_;
    std::string key_;
    /// The host that answered last; asked first next time.
    std::optional<endpoint_text> leader_;
    std::size_t next_ = 0;
    duty duty_;
    http_client client_;
};

} // namespace guavashed
