/// \file
/// Defines the framed TCP sessions between processes of the system. A frame has a length, a
/// checksum, a type and a cereal payload.
#pragma once

#include "base/error.hpp"
#include "base/event_loop.hpp"
#include "base/ids.hpp"
#include "base/instant.hpp"

#include <chrono>
#include <memory>
#include <string>

namespace guavashed
{

/// Type of a frame's payload. A port closes a session that sends a type it does not expect.
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
    /// Heartbeat of an idle session; never passed to a handler.
    ping = 15,
    greeting = 16,
    proposal = 17,
    config_read = 18,
    announced_upstreams = 19,
    entry_report = 20,
    fleet_changes = 21,
    lease_request = 22,
    lease_grant = 23,
    control_status = 24,
    founding_vote = 25
};

struct frame
{
    frame_type type = frame_type::hello;
    std::string payload;
};

/// A connection to a peer. A session that receives nothing within `frame_identity::receive_timeout`
/// is closed: a middlebox may have dropped its state while new connections still work. Thread
/// safety: the owning event loop's thread only.
class frame_session
{
public:
    virtual ~frame_session() = default;
    /// Queues a frame. Returns false when the session is closed or its send queue is full; a full
    /// queue closes the session.
    virtual bool send(frame_type type, std::string payload) = 0;
    /// Closes the session; `frame_handler::on_close` runs afterwards.
    virtual void close() = 0;
    /// Name from the peer's hello; empty until the hello has arrived.
    virtual std::string const& peer() const = 0;
    /// When the last complete frame arrived; pings count. No preconditions.
    virtual instant last_received() const = 0;
};

using frame_session_ptr = std::shared_ptr<frame_session>;

/// Receives the events of sessions. Runs on the owning event loop's thread.
class frame_handler
{
public:
    virtual ~frame_handler() = default;
    /// The peer's hello carried the right cluster key; frames may now be sent.
    virtual void on_open(frame_session_ptr const& session) = 0;
    virtual void on_frame(frame_session_ptr const& session, frame&& item) = 0;
    virtual void on_close(frame_session_ptr const& session) = 0;
};

struct frame_identity
{
    std::string name;
    /// Shared by all processes of the system. A session whose peer sends another key is closed.
    std::string cluster_key;
    std::chrono::milliseconds ping_interval{2000};
    /// A session that receives nothing for this long is closed.
    std::chrono::milliseconds receive_timeout{5000};
};

/// Identity for sessions of the fleet register. Its timeouts are short, since a lost peer must be
/// detected within the duration of a drain.
frame_identity fleet_identity(std::string name);

/// Accepts sessions from peers.
class frame_server
{
public:
    /// Preconditions: `owner` and `handler` outlive the server.
    frame_server(event_loop& owner, frame_handler& handler, frame_identity identity);
    ~frame_server();
    /// Binds and accepts. Call once.
    result<void> listen(endpoint_text const& where);
    /// Stops accepting and closes all sessions. Owner's thread only.
    void close();

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

/// Maintains one outgoing session, reconnecting with jittered exponential back-off.
class frame_client
{
public:
    /// Preconditions: `owner` and `handler` outlive the client.
    frame_client(event_loop& owner, frame_handler& handler, frame_identity identity,
                 endpoint_text endpoint);
    ~frame_client();
    /// Starts connecting. Owner's thread only.
    void start();
    /// Closes the session and stops reconnecting. Owner's thread only.
    void stop();
    /// Sends on the open session. Returns false when none is open, or when
    /// `frame_session::send` does. Owner's thread only.
    bool send(frame_type type, std::string payload);
    /// True while `session` is this client's current session. Owner's thread only.
    bool owns(frame_session const& session) const;
    /// Connect time of the current session or, while there is none, of the last one: an estimate
    /// of the round trip. Owner's thread only.
    std::chrono::microseconds round_trip() const;
    /// Owner's thread only.
    endpoint_text const& endpoint() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

/// Compares two secrets in a time that depends on their lengths only. Thread safe.
bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace guavashed
