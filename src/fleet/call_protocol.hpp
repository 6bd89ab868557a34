/// \file
/// Defines call_protocol, the HTTP mapping of callers' requests and upstreams' answers.
#pragma once

#include "access/access_config.hpp"
#include "base/ids.hpp"
#include "routing/attempt_policy.hpp"
#include "routing/upstream_selector.hpp"
#include "transport/http_message.hpp"

#include <optional>
#include <string>

namespace guavashed
{

/// Metadata of a caller's request.
struct request_metadata
{
    /// Identifies this attempt of the caller; upstreams echo it.
    std::string id;
    /// Time that the caller waits for an answer; empty when it states none.
    std::optional<std::uint32_t> deadline_ms;
    /// Object that the request concerns, for placement.
    std::string object;
    std::string host;
    /// Digest of the caller's key; empty unless the request has exactly one key, which is not
    /// empty. The key itself is kept nowhere, so that it cannot get into a log.
    std::optional<key_digest> key;
};

/// What an upstream is told of a request's caller.
struct caller_identity
{
    /// Keys are required by the configuration, so that only this host states the workspace.
    bool is_checked = false;
    /// Null where no key was checked, as on a public route.
    workspace_name const* workspace = nullptr;
};

/// Metadata of an upstream's answer.
struct response_metadata
{
    /// It bears the upstream's signature.
    bool is_signed = false;
    execution_statement statement = execution_statement::none;
    /// The fields with that statement as they were sent, joined by commas.
    std::string statement_text;
    /// The upstream that names itself as the sender; empty when the answer names none.
    upstream_name responder;
    std::optional<upstream_load> load;
    std::optional<std::uint32_t> cold_left_ms;
    /// The upstream states that it leaves: it wants no further requests.
    bool is_leaving = false;
    /// With a refusal: how long the upstream wants no requests from this host.
    std::optional<std::uint32_t> pause_ms;
    /// The field that states a pause, where it could not be read.
    std::string unreadable_pause;
};

/// Thread safety: all methods are thread safe.
class call_protocol
{
public:
    virtual ~call_protocol() = default;

    virtual request_metadata read_call(http_request const& request) const = 0;
    /// The request as sent to the upstream, which runs it only if it is the named target. With a
    /// checked identity, it has neither the caller's key nor a workspace that the caller stated.
    virtual http_request forward(http_request const& request, upstream_name const& target,
                                 std::uint32_t left_ms, caller_identity const& caller) const = 0;
    virtual response_metadata read_answer(http_response const& answer) const = 0;
    /// The upstream's answer as sent to the caller.
    virtual http_response relay(http_response answer) const = 0;
    /// An answer that this host itself generates; no Retry-After when `retry_after_ms` is 0.
    virtual http_response local_response(unsigned status, std::string const& id,
                                         std::string const& detail,
                                         std::uint32_t retry_after_ms) const = 0;
    /// Name of the header field in which upstreams echo the request's id.
    virtual std::string const& id_field() const = 0;
};

} // namespace guavashed
