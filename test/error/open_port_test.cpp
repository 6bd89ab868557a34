// Guards against faults that an untrusted peer can cause on an open port: malformed or oversized
// HTTP requests, forged frames, a wrong cluster key, and peers that stop answering. Also checks
// that a failed call is reported as unsent only if nothing was sent, since an unsent call may be
// retried.
#include "transport/frame_wire.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>

using namespace guavashed;
using tcp = boost::asio::ip::tcp;

namespace
{

constexpr unsigned short http_port = 20911;
constexpr unsigned short frame_port = 20912;
constexpr unsigned short unresponsive_port = 20913;

class echo_handler : public http_handler
{
public:
    void on_request(http_request request, std::shared_ptr<http_exchange> exchange) override
    {
        http_response response = json_response(200, request.body);
        response.fields.push_back({"X-Request-Id", std::string(request.field("X-Wrong-Id"))});
        exchange->respond(std::move(response));
    }
};

class counting_handler : public frame_handler
{
public:
    void on_open(frame_session_ptr const&) override { ++opened; }
    void on_frame(frame_session_ptr const&, frame&&) override { ++frames; }
    void on_close(frame_session_ptr const&) override { ++closed; }
    std::atomic<int> opened{0};
    std::atomic<int> frames{0};
    std::atomic<int> closed{0};
};

/// Sends bytes and reads until the other end closes or 400 ms have passed.
std::string exchange_raw(unsigned short port, std::string const& bytes)
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    boost::system::error_code code;
    boost::asio::write(socket, boost::asio::buffer(bytes), code);
    std::string out;
    std::array<char, 4096> buffer;
    boost::asio::steady_timer limit(context, std::chrono::milliseconds(400));
    limit.async_wait([&](boost::system::error_code) { socket.close(code); });
    std::function<void()> read = [&]
    {
        socket.async_read_some(boost::asio::buffer(buffer),
                               [&](boost::system::error_code failure, std::size_t n)
                               {
                                   out.append(buffer.data(), n);
                                   if (!failure)
                                       return read();
                                   limit.cancel();
                               });
    };
    read();
    context.run();
    return out;
}

http_outcome call(event_loop& owner, http_client& client, http_call request)
{
    std::promise<http_outcome> done;
    boost::asio::post(owner.context(),
                      [&]
                      {
                          client.start(std::move(request), [&](http_outcome outcome)
                                       { done.set_value(std::move(outcome)); });
                      });
    return done.get_future().get();
}

http_call call_to(unsigned short port, int limit_ms)
{
    http_call out;
    out.endpoint = endpoint_text("127.0.0.1:" + std::to_string(port));
    out.deadline = instant::clock::now() + milliseconds(limit_ms);
    return out;
}

} // namespace

SCENARIO("an HTTP port keeps serving after malformed input")
{
    event_loop owner("http");
    event_loop client_event_loop("client");
    echo_handler handler;
    http_server server(owner, handler, {1024, 4096, 100});
    REQUIRE(server.listen(endpoint_text("127.0.0.1:" + std::to_string(http_port))));
    http_client client(client_event_loop);

    SECTION("bytes that are not HTTP")
    {
        exchange_raw(http_port, std::string("\0\1\2\3\r\n\r\n", 8));
    }
    SECTION("a header above the size limit")
    {
        std::string const answer =
            exchange_raw(http_port, "GET / HTTP/1.1\r\nHost: a\r\nA: " + std::string(5000, 'a'));
        CHECK(answer.starts_with("HTTP/1.1 431"));
    }
    SECTION("a body above the size limit")
    {
        std::string const answer =
            exchange_raw(http_port, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n");
        CHECK(answer.starts_with("HTTP/1.1 413"));
    }
    SECTION("two different Content-Length fields")
    {
        std::string const answer = exchange_raw(
            http_port,
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde");
        CHECK(answer.starts_with("HTTP/1.1 400"));
    }
    SECTION("a truncated body")
    {
        CHECK(exchange_raw(http_port, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")
                  .empty());
    }
    THEN("the next request is served")
    {
        http_call request = call_to(http_port, 1000);
        request.request.method = "POST";
        request.request.body = "still here";
        auto const outcome = call(client_event_loop, client, request);
        REQUIRE(outcome.response);
        CHECK(outcome.response->body == "still here");
    }
}

SCENARIO("a failed call reports whether it was sent")
{
    event_loop owner("http");
    event_loop client_event_loop("client");
    echo_handler handler;
    http_server server(owner, handler, {});
    REQUIRE(server.listen(endpoint_text("127.0.0.1:" + std::to_string(http_port))));
    http_client client(client_event_loop);

    SECTION("a refused connection leaves the call unsent")
    {
        auto const outcome = call(client_event_loop, client, call_to(1, 500));
        CHECK_FALSE(outcome.response);
        CHECK(outcome.stage == send_stage::unsent);
    }
    SECTION("a call past its send-by time is not sent")
    {
        http_call late = call_to(http_port, 1000);
        late.send_by = instant::clock::now() - milliseconds(1);
        auto const outcome = call(client_event_loop, client, late);
        CHECK_FALSE(outcome.response);
        CHECK(outcome.stage == send_stage::unsent);
    }
    SECTION("an answer with another request's id is rejected")
    {
        http_call request = call_to(http_port, 1000);
        request.expected_id = "7";
        request.request.fields = {{"X-Wrong-Id", "8"}};
        auto const outcome = call(client_event_loop, client, request);
        CHECK_FALSE(outcome.response);
        CHECK(outcome.stage == send_stage::sent);
    }
    SECTION("an unresponsive upstream times out at the deadline")
    {
        boost::asio::io_context context;
        tcp::acceptor acceptor(context,
                               {boost::asio::ip::make_address("127.0.0.1"), unresponsive_port});
        auto const start = instant::clock::now();
        auto const outcome = call(client_event_loop, client, call_to(unresponsive_port, 200));
        CHECK_FALSE(outcome.response);
        CHECK(outcome.stage == send_stage::sent);
        CHECK(outcome.cause.code == error_code::timeout);
        CHECK(instant::clock::now() - start >= milliseconds(190));
    }
}

SCENARIO("a peer port opens sessions only for valid frames with the cluster key")
{
    event_loop owner("frames");
    event_loop other("other");
    counting_handler handler;
    counting_handler peer;
    frame_server server(owner, handler, {"server", "the-right-cluster-key"});
    endpoint_text const where("127.0.0.1:" + std::to_string(frame_port));
    REQUIRE(server.listen(where));
    auto const wait_for = [](std::atomic<int>& count)
    {
        for (int i = 0; i < 200 && count == 0; ++i)
            std::this_thread::sleep_for(milliseconds(5));
        return count.load();
    };
    SECTION("random bytes")
    {
        exchange_raw(frame_port, std::string(500, 'x'));
        CHECK(handler.opened == 0);
    }
    SECTION("a forged frame length")
    {
        std::string header = encode_frame(frame_type::hello, "");
        std::uint32_t const length = 0xffffffff;
        std::memcpy(header.data() + offsetof(frame_header, length), &length, sizeof length);
        exchange_raw(frame_port, header);
        CHECK(handler.opened == 0);
    }
    SECTION("another cluster's key")
    {
        frame_client client(other, peer, {"client", "a-different-cluster-key"}, where);
        boost::asio::post(other.context(), [&] { client.start(); });
        std::this_thread::sleep_for(milliseconds(200));
        CHECK(handler.opened == 0);
        other.stop();
    }
    SECTION("the right key")
    {
        frame_client client(other, peer, {"client", "the-right-cluster-key"}, where);
        boost::asio::post(other.context(), [&] { client.start(); });
        REQUIRE(wait_for(peer.opened) == 1);
        boost::asio::post(other.context(), [&] { client.send(frame_type::presence, "payload"); });
        CHECK(wait_for(handler.frames) == 1);
        other.stop();
    }
    SECTION("a session that receives nothing more is closed")
    {
        boost::asio::io_context context;
        tcp::socket socket(context);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), frame_port});
        // The server's own hello contains the key, so that echoing it opens the session.
        std::array<char, 24 + 28> hello;
        boost::asio::read(socket, boost::asio::buffer(hello));
        boost::asio::write(socket, boost::asio::buffer(hello));
        REQUIRE(wait_for(handler.opened) == 1);
        for (int i = 0; i < 100 && handler.closed == 0; ++i)
            std::this_thread::sleep_for(milliseconds(100));
        CHECK(handler.closed == 1);
    }
    owner.stop();
}

SCENARIO("the constant-time comparison of keys finds equality and difference")
{
    CHECK(equal_in_constant_time("abc", "abc"));
    CHECK_FALSE(equal_in_constant_time("abc", "abd"));
    CHECK_FALSE(equal_in_constant_time("abc", "ab"));
}
