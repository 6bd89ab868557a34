/// \file
/// Defines call_protocol, how callers' requests and upstreams' answers are read and written.
#pragma once

#include "base/ids.hpp"
#include "routing/upstream_board.hpp"
#include "transport/http_message.hpp"

#include <optional>
#include <string>

namespace guavashed
{

/// What a caller's request says beside its method, target and body.
struct call_facts
{
    /// Names this attempt of the caller; upstreams echo it.
    std::string id;
    /// How long the caller waits.
    std::optional<std::uint32_t> deadline_ms;
    /// Object that the request concerns.
    std::string object;
    std::string host;
};

/// What an upstream's answer says beside its status and body.
struct answer_facts
{
    bool is_signed = false;
    bool not_executed = false;
    std::optional<upstream_load> load;
    std::optional<std::uint32_t> cold_left_ms;
};

/// Thread safety: all methods are thread safe.
class call_protocol
{
public:
    virtual ~call_protocol() = default;

    virtual call_facts read_call(http_request const& request) const = 0;
    /// The request as the upstream gets it, which runs it only if it bears that id.
    virtual http_request forward(http_request const& request, upstream_name const& target,
                                 std::uint32_t left_ms) const = 0;
    virtual answer_facts read_answer(http_response const& answer) const = 0;
    /// The upstream's answer as the caller gets it.
    virtual http_response relay(http_response answer) const = 0;
    /// An answer of this host's own; `retry_after_ms` 0 for none.
    virtual http_response own_answer(unsigned status, std::string const& id,
                                     std::string const& detail,
                                     std::uint32_t retry_after_ms) const = 0;
    /// Name of the field in which upstreams echo the request's id.
    virtual std::string const& id_field() const = 0;
};

} // namespace guavashed
