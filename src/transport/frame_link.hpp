/// \file
/// Defines the framed TCP sessions between our processes: length, checksum, type, cereal payload.
#pragma once

#include "base/duty.hpp"
#include "base/error.hpp"
#include "base/ids.hpp"

#include <chrono>
#include <memory>
#include <string>

namespace guavashed
{

/// What a frame carries; a port drops the session that sends a type it does not expect.
enum class frame_type : std::uint16_t
{
    hello = 1,
    raft = 2,
    presence = 3,
    configuration = 4,
    acknowledge = 5,
    view = 6,
    claim = 7,
    claim_reply = 8,
    forward = 9,
    forward_reply = 10,
    forward_cancel = 11,
    join = 12,
    peer_presence = 13,
    loads = 14,
    /// Keeps an idle session known to be alive; never given to a handler.
    ping = 15,
    greeting = 16,
    proposal = 17,
    config_read = 18,
    upstreams_heard = 19,
    entry_report = 20,
    fleet_changes = 21
};

struct frame
{
    frame_type type = frame_type::hello;
    std::string payload;
};

/// A connected peer. A session on which nothing arrives for a while is closed, since something
/// between the two ends may have lost track of it while new connections work. Thread safety: the
/// owning duty's thread only.
class frame_session
{
public:
    virtual ~frame_session() = default;
    /// Queues a frame; false when the session is closed or its queue is full (it then closes).
    virtual bool send(frame_type type, std::string payload) = 0;
    /// Closes; `on_close` follows.
    virtual void close() = 0;
    /// The name that the peer gave in its hello, or the endpoint called.
    virtual std::string const& peer() const = 0;
};

using frame_session_ptr = std::shared_ptr<frame_session>;

/// Receives what sessions bring; runs on the owning duty's thread.
class frame_handler
{
public:
    virtual ~frame_handler() = default;
    /// The peer proved the cluster key.
    virtual void on_open(frame_session_ptr const& session) = 0;
    virtual void on_frame(frame_session_ptr const& session, frame&& item) = 0;
    virtual void on_close(frame_session_ptr const& session) = 0;
};

struct frame_identity
{
    std::string name;
    /// Shared by all processes of the system; sessions with another key are refused.
    std::string cluster_key;
    std::chrono::milliseconds ping_interval{2000};
    /// A session on which nothing has arrived for so long is closed.
    std::chrono::milliseconds silence_limit{5000};
};

/// Identity for sessions of the fleet register, which must notice a lost peer within a drain.
frame_identity fleet_identity(std::string name);

/// Accepts sessions.
class frame_server
{
public:
    /// Preconditions: `owner` and `handler` outlive the server.
    frame_server(duty& owner, frame_handler& handler, frame_identity identity);
    ~frame_server();
    /// Binds and accepts. Call once.
    result<void> listen(endpoint_text const& where);
    /// Stops accepting and closes all sessions. Owner's thread only.
    void close();

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

/// Keeps one outgoing session alive, reconnecting with jittered backoff.
class frame_client
{
public:
    /// Preconditions: `owner` and `handler` outlive the client.
    frame_client(duty& owner, frame_handler& handler, frame_identity identity,
                 endpoint_text endpoint);
    ~frame_client();
    /// Starts connecting. Owner's thread only.
    void start();
    /// Ends the session and the reconnecting. Owner's thread only.
    void stop();
    /// False when no session is open. Owner's thread only.
    bool send(frame_type type, std::string payload);
    /// True while `session` is this client's open session. Owner's thread only.
    bool owns(frame_session const& session) const;
    /// How long the open session, or the last one, took to connect. Owner's thread only.
    std::chrono::microseconds round_trip() const;
    /// Owner's thread only.
    endpoint_text const& endpoint() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

/// True when both are equal, in time that depends on the length only. Thread safe.
bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace guavashed
