/// \file
/// Defines a server and a handler for tests of the HTTP server.
#pragma once

#include "raw_caller.hpp"
#include "transport/http_server.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace guavashed
{

inline constexpr unsigned short http_test_port = 20921;

/// Holds the exchanges of "/held/..." until the test answers them; answers all others at once.
class scripted_handler : public http_handler
{
public:
    void on_request(http_request request, std::shared_ptr<http_exchange> exchange) override
    {
        std::unique_lock const lock(mutex_);
        started_.push_back(request.target);
        if (request.target == "/throw")
            throw std::runtime_error("as asked");
        if (request.target == "/drop")
            return;
        if (request.target.starts_with("/held/"))
        {
            exchange->when_abandoned([this] { ++abandoned; });
            held_[request.target] = std::move(exchange);
            return;
        }
        if (request.target.starts_with("/status/"))
            return exchange->respond({unsigned(std::stoul(request.target.substr(8))), {}, "body"});
        // Appended, so that the body takes no more memory than its size.
        std::string body = request.target;
        body.append(answer_padding, '.');
        exchange->respond({200, {}, std::move(body)});
    }
    bool may_overlap(http_request const& request) const override { return request.method == "GET"; }

    void answer(std::string const& target)
    {
        std::shared_ptr<http_exchange> exchange;
        {
            std::unique_lock const lock(mutex_);
            exchange = held_.at(target);
        }
        exchange->respond({200, {}, target});
    }
    /// Drops the held exchanges; they must not outlive the server's event loop.
    void release()
    {
        std::unique_lock const lock(mutex_);
        held_.clear();
    }
    std::vector<std::string> started() const
    {
        std::unique_lock const lock(mutex_);
        return started_;
    }

    std::atomic<int> abandoned{0};
    std::size_t answer_padding = 0;

private:
    mutable std::mutex mutex_;
    std::vector<std::string> started_;
    std::map<std::string, std::shared_ptr<http_exchange>> held_;
};

/// A server on its own thread, stopped before its handler ends.
struct running_server
{
    explicit running_server(http_server_limits limits = {})
        : owner("http"), server(owner, handler, limits)
    {
        REQUIRE(server.listen(endpoint_text("127.0.0.1:" + std::to_string(http_test_port))));
    }
    ~running_server()
    {
        owner.stop();
        handler.release();
    }

    scripted_handler handler;
    event_loop owner;
    http_server server;
};

inline std::string get(std::string const& target, std::string const& fields = "")
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

inline std::string post(std::string const& target, std::string const& body)
{
    return "POST " + target +
           " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

using targets = std::vector<std::string>;

/// Waits up to 2 s.
inline bool becomes_true(std::function<bool()> const& condition)
{
    for (int i = 0; i < 200 && !condition(); ++i)
        std::this_thread::sleep_for(milliseconds(10));
    return condition();
}

} // namespace guavashed
