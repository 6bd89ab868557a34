// Implements the operator port: authorization and dispatch to the entry or control role.
#include "transport/operator_port.hpp"

#include "transport/frame_link.hpp"

#include <boost/json.hpp>

namespace guavashed
{
namespace
{

constexpr std::string_view bearer = "Bearer ";

bool needs_no_key(std::string_view path)
{
    return path == "/metrics" || path == "/healthz";
}

} // namespace

class operator_port::handler : public http_handler
{
public:
    handler(std::string key, sinks to) : key_(std::move(key)), to_(std::move(to)) {}

    void on_request(http_request request, std::shared_ptr<http_exchange> exchange) override
    {
        std::string_view const path = path_of(request.target);
        if (!needs_no_key(path) && !authorized(request))
            return exchange->respond(
                error_response(401, fail(error_code::unauthorized, "operator request", "",
                                         "the operator key is missing or wrong")));
        bool const for_entry = to_.entry && (path.starts_with("/v1/entry/") || !to_.control);
        auto const& sink = for_entry ? to_.entry : to_.control;
        auto const keep = exchange;
        if (!sink({std::move(request), std::move(exchange)}))
            keep->respond(error_response(503, fail(error_code::overloaded, "operator request", "",
                                                   "the queue of operator requests is full")));
    }

private:
    bool authorized(http_request const& request) const
    {
        std::string_view const credentials = request.field("Authorization");
        return credentials.starts_with(bearer) &&
               equal_in_constant_time(credentials.substr(bearer.size()), key_);
    }

    std::string key_;
    sinks to_;
};

operator_port::operator_port(std::string key, sinks to)
    : handler_(std::make_unique<handler>(std::move(key), std::move(to))), event_loop_("operator"),
      server_(event_loop_, *handler_, {})
{
}

operator_port::~operator_port()
{
    stop();
}

result<void> operator_port::listen(endpoint_text const& where)
{
    return server_.listen(where);
}

void operator_port::stop()
{
    event_loop_.stop();
}

http_response error_response(unsigned status, error const& failure)
{
    boost::json::object const body{{"error", to_string(failure.code)},
                                   {"step", failure.step},
                                   {"peer", failure.peer},
                                   {"detail", failure.detail}};
    return json_response(status, boost::json::serialize(body));
}

} // namespace guavashed
