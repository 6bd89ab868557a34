// Implements the blocking operator calls and the search for the leader.
#include "transport/operator_client.hpp"

#include <boost/json.hpp>
#include <future>

namespace guavashed
{
namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds call_timeout{6};
constexpr std::chrono::seconds total_timeout{20};
constexpr milliseconds retry_delay{100};
/// Status 421, Misdirected Request: the control host is not the leader.
constexpr unsigned misdirected = 421;

/// The leader's operator endpoint, where the answer of another control host contains it.
std::optional<endpoint_text> leader_of(http_response const& response)
{
    boost::system::error_code code;
    json::value const body = json::parse(response.body, code);
    if (code || !body.is_object())
        return std::nullopt;
    auto const* leader = body.get_object().if_contains("leader_operator");
    if (leader == nullptr || !leader->is_string() || leader->get_string().empty())
        return std::nullopt;
    return endpoint_text(std::string(leader->get_string()));
}

} // namespace

operator_client::operator_client(std::vector<endpoint_text> control, std::string key)
    : control_(std::move(control)), key_(std::move(key)), event_loop_("client"),
      client_(event_loop_)
{
}

result<http_response> operator_client::ask(endpoint_text const& where, std::string const& method,
                                           std::string const& path, std::string const& body)
{
    auto promise = std::make_shared<std::promise<http_outcome>>();
    auto answer = promise->get_future();
    http_call call;
    call.endpoint = where;
    call.deadline = instant::clock::now() + call_timeout;
    call.request.method = method;
    call.request.target = path;
    call.request.body = body;
    call.request.fields = {{"Authorization", "Bearer " + key_}};
    boost::asio::post(event_loop_.context(),
                      [this, call = std::move(call), promise]() mutable
                      {
                          client_.start(std::move(call), [promise](http_outcome outcome)
                                        { promise->set_value(std::move(outcome)); });
                      });
    http_outcome outcome = answer.get();
    if (!outcome.response)
        return outcome.cause;
    return std::move(*outcome.response);
}

result<http_response> operator_client::ask_control(std::string const& method,
                                                   std::string const& path, std::string const& body)
{
    instant const until = instant::clock::now() + total_timeout;
    error last =
        fail(error_code::unavailable, "ask control", "", "the list of control hosts is empty");
    while (!control_.empty() && instant::clock::now() < until)
    {
        endpoint_text const where = leader_ ? *leader_ : control_[next_++ % control_.size()];
        auto answer = ask(where, method, path, body);
        if (answer && answer.value().status != misdirected && answer.value().status < 500)
        {
            leader_ = where;
            return answer;
        }
        bool const was_leader = leader_.has_value();
        leader_.reset();
        if (answer)
        {
            leader_ = leader_of(answer.value());
            last = fail(error_code::not_leader, "ask control", where.value(), answer.value().body);
        }
        else
            last = answer.error();
        if (was_leader || !leader_)
            std::this_thread::sleep_for(retry_delay);
    }
    return last;
}

} // namespace guavashed
