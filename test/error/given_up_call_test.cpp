// Guards against the late execution of an abandoned request. A plain close leaves the request in
// the socket's send buffer while a link is cut; the kernel retransmits it when the link recovers,
// and the upstream runs it. A reset discards it.
#include "base/event_loop.hpp"
#include "transport/http_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <catch2/catch.hpp>
#include <future>

using namespace guavashed;
using tcp = boost::asio::ip::tcp;

TEST_CASE("a call that times out or is cancelled resets its connection")
{
    event_loop client_event_loop("client");
    http_client client(client_event_loop);
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    bool const cancelled = GENERATE(false, true);

    std::promise<http_outcome> done;
    std::promise<http_call_id> started;
    boost::asio::post(
        client_event_loop.context(),
        [&]
        {
            http_call call;
            call.endpoint =
                endpoint_text("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
            call.deadline = instant::clock::now() + milliseconds(300);
            started.set_value(client.start(std::move(call), [&done](http_outcome outcome)
                                           { done.set_value(std::move(outcome)); }));
        });
    tcp::socket upstream = acceptor.accept();
    boost::asio::streambuf request;
    boost::asio::read_until(upstream, request, "\r\n\r\n");
    http_call_id const id = started.get_future().get();
    if (cancelled)
        boost::asio::post(client_event_loop.context(), [&] { client.cancel(id); });
    http_outcome const outcome = done.get_future().get();
    CHECK_FALSE(outcome.response);
    CHECK(outcome.stage == send_stage::sent);
    char byte = 0;
    boost::system::error_code code;
    upstream.read_some(boost::asio::buffer(&byte, 1), code);
    CHECK(code == boost::asio::error::connection_reset);
    client_event_loop.stop();
}
