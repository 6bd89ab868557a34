// Guards against a leak of calls: a handler stores the exchange in its call, and the exchange's
// abandon action refers to the call. Unless the server clears the action when the call ends, the
// two keep each other alive, together with the connection.
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace guavashed;

namespace
{

constexpr char const* listen_address = "127.0.0.1:18473";

/// Stores each exchange in an object that the exchange's abandon action keeps alive.
class retaining_handler : public http_handler
{
public:
    struct retained_call
    {
        std::shared_ptr<http_exchange> exchange;
    };

    void on_request(http_request, std::shared_ptr<http_exchange> exchange) override
    {
        auto const item = std::make_shared<retained_call>();
        item->exchange = std::move(exchange);
        last = item;
        item->exchange->when_abandoned([this, item] { ++abandoned; });
        if (answers)
            item->exchange->respond({200, {}, "answer"});
    }

    std::weak_ptr<retained_call> last;
    std::atomic<int> abandoned{0};
    bool answers = false;
};

} // namespace

TEST_CASE("a call is released with its connection when it ends")
{
    event_loop owner("server");
    event_loop client_event_loop("client");
    retaining_handler handler;
    http_server server(owner, handler, {});
    REQUIRE(server.listen(endpoint_text(listen_address)));
    http_client client(client_event_loop);
    handler.answers = GENERATE(false, true);

    std::promise<http_outcome> done;
    boost::asio::post(client_event_loop.context(),
                      [&]
                      {
                          http_call call;
                          call.endpoint = endpoint_text(listen_address);
                          call.deadline = instant::clock::now() + milliseconds(200);
                          client.start(std::move(call), [&done](http_outcome outcome)
                                       { done.set_value(std::move(outcome)); });
                      });
    auto const outcome = done.get_future().get();
    CHECK(outcome.response.has_value() == handler.answers);
    // The server detects the closed connection on its own thread.
    for (int i = 0; i < 100 && !handler.last.expired(); ++i)
        std::this_thread::sleep_for(milliseconds(10));
    CHECK(handler.last.expired());
    CHECK(handler.abandoned == (handler.answers ? 0 : 1));
    owner.stop();
    client_event_loop.stop();
}
