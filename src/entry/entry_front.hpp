/// \file
/// Defines entry_front, the HTTP front end for callers' look-ups and calls and for upstreams'
/// announcements.
#pragma once

#include "daemon/settings.hpp"
#include "entry/entry_messages.hpp"
#include "entry/steering_table.hpp"
#include "entry/upstream_pool.hpp"
#include "transport/http_server.hpp"

#include <atomic>
#include <memory>
#include <variant>

namespace guavashed
{

/// A caller's request, with the parts that only the I/O layer needs.
struct front_call
{
    caller_request request;
    std::string target;
    std::string body;
    std::shared_ptr<http_exchange> exchange;
};

/// The caller has closed its connection.
struct front_abandoned
{
    request_id id;
};

struct front_announcement
{
    upstream_announcement announcement;
    /// Another entry host sent the upstream here.
    bool redirected = false;
    std::shared_ptr<http_exchange> exchange;
};

using front_event = std::variant<front_call, front_abandoned, front_announcement>;

struct front_counters
{
    std::atomic<std::uint64_t> lookups{0};
    std::atomic<std::uint64_t> bad_requests{0};
    std::atomic<std::uint64_t> ring_full{0};
};

/// Answers look-ups directly from the steering table and passes all else to the decision event
/// loop. Thread safety: `on_request` on the caller event loop; `set_serving` and `counters` from
/// any thread.
class entry_front : public http_handler
{
public:
    /// Passes an event to the decision event loop; false when its ring is full.
    using event_sink = std::function<bool(front_event)>;

    entry_front(daemon_settings const& settings, steering_table const& table,
                event_sink push_event);

    void on_request(http_request request, std::shared_ptr<http_exchange> exchange) override;
    /// Enables look-ups. They are refused until the host has the current configuration and a
    /// steering table, and while it is leaving.
    void set_serving(bool serving) { serving_ = serving; }
    front_counters const& counters() const { return counters_; }

    /// The answer to a look-up, as JSON; public for benchmarks. Precondition: the steering table is
    /// built.
    std::string lookup_body(std::string_view client) const;

private:
    void lookup(http_request const& request, http_exchange& exchange);
    void call(http_request&& request, std::shared_ptr<http_exchange> const& exchange);
    void announce(http_request const& request, std::shared_ptr<http_exchange> exchange);
    void refuse(http_exchange& exchange, unsigned status, std::string const& detail);

    daemon_settings const& settings_;
    steering_table const& table_;
    std::vector<host_name> recorders_;
    event_sink push_event_;
    std::atomic<bool> serving_{false};
    std::uint64_t next_id_ = 1;
    front_counters counters_;
};

/// The HTTP response that reports a request's outcome to its caller. Thread safe.
http_response caller_response(give_answer answer);

/// Parses the JSON body of an upstream's announcement. Fails with `invalid_request` when a field is
/// missing or out of range. Thread safe.
result<upstream_announcement> parse_announcement(std::string const& body);

} // namespace guavashed
