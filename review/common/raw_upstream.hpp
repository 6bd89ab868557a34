/// \file
/// Defines raw_upstream, a small server of the platform whose responses a case may write itself.
#pragma once

#include "deployment.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <set>
#include <thread>

namespace review
{

struct raw_request
{
    std::string method;
    std::string target;
    std::string id;
    /// Address of the caller, without the port.
    std::string caller;
    unsigned number = 0;
};

/// Registers with the control hosts, and serves one request at a time on each connection, each on a
/// thread of its own. Thread safety: all methods are thread safe.
class raw_upstream
{
public:
    /// Writes the response to `socket`. False when the connection shall be closed.
    using responder = std::function<bool(raw_request const&, int socket)>;

    raw_upstream(deployment const& fleet, unsigned place, responder respond, unsigned work_ms = 20);
    ~raw_upstream();
    raw_upstream(raw_upstream const&) = delete;
    raw_upstream& operator=(raw_upstream const&) = delete;

    bool start();
    void stop();
    std::string const& id() const { return id_; }
    /// How often each request ran, by its id.
    std::map<std::string, unsigned> runs() const;

    /// The signed 200 response of a sound server.
    static std::string sound_response(raw_request const& request);
    static bool write(int socket, std::string const& bytes);

private:
    void accept();
    void serve(int socket, std::string caller);
    void announce();

    std::vector<std::string> controls_;
    std::string id_;
    std::string zone_;
    std::string address_;
    responder respond_;
    unsigned work_ms_;
    int listener_ = -1;
    std::atomic<bool> stopping_{false};
    std::atomic<unsigned> requests_{0};
    mutable std::mutex mutex_;
    std::map<std::string, unsigned> runs_;
    std::set<int> sockets_;
    std::atomic<unsigned> serving_{0};
    std::thread accepting_;
    std::thread announcing_;
};

} // namespace review
