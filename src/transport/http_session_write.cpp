// Implements the writing of answers to one caller connection, and the bounds on callers that don't
// take them.
#include "base/log.hpp"
#include "transport/http_session.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace guavashed
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/// Bytes of a large answer that the kernel takes ahead of those that are on their way. It keeps the
/// fastest links busy between two turns of the event loop; without it the kernel takes megabytes
/// for a caller that doesn't read.
constexpr int max_unsent_bytes = 128 * 1024;
/// Checks of a caller's progress within its deadline.
constexpr int progress_checks = 4;

/// Sets body and length. An answer to HEAD has no body but may state the length of the one that it
/// omits; an answer of status 204 or 304 has none, and callers would read it as the next answer.
void set_body(http::response<http::string_body>& answer, std::string body, bool is_head)
{
    bool const never_has_body = answer.result() == http::status::no_content ||
                                answer.result() == http::status::not_modified;
    if (never_has_body)
        return answer.erase(http::field::content_length), void();
    if (!is_head)
    {
        answer.body() = std::move(body);
        return answer.prepare_payload();
    }
    if (!body.empty())
        answer.content_length(body.size());
}

char const* to_string(give_up_reason reason)
{
    return reason == give_up_reason::memory ? "memory" : "no_progress";
}

} // namespace

void http_session::write_next()
{
    if (writing_ || slots_.empty() || !slots_.front()->response)
        return;
    slot& item = *slots_.front();
    // Requests behind an answer that closes the connection count as unread, so none of those
    // behind this one may have been passed on.
    bool const followed = slots_.size() > 1 && !slots_[1]->waiting;
    bool const keep = item.keep_alive && (followed || !server_->draining);
    if (!keep)
        phase_ = phase::finishing;
    outgoing_.emplace();
    outgoing_->version(11);
    outgoing_->result(item.response->status);
    for (auto const& field : item.response->fields)
        outgoing_->insert(field.name, field.value);
    outgoing_->keep_alive(keep);
    set_body(*outgoing_, std::move(item.response->body), item.is_head);
    if (outgoing_->body().size() > transfer_progress::step_bytes)
        bound_unsent_bytes();
    serializer_.emplace(*outgoing_);
    writing_ = true;
    progress_deadline_ = instant::clock::now() + server_->limits.idle_timeout;
    unacknowledged_bytes_ = 0;
    watch_progress();
    write_some();
}

void http_session::bound_unsent_bytes()
{
    if (std::exchange(unsent_bytes_bounded_, true))
        return;
    // Where the system has no such option, its own bound holds.
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max_unsent_bytes,
                 sizeof max_unsent_bytes);
}

void http_session::write_some()
{
    http::async_write_some(socket_, *serializer_,
                           [self = shared_from_this()](beast::error_code code, std::size_t bytes)
                           { self->on_some_written(code, bytes); });
}

void http_session::on_some_written(beast::error_code code, std::size_t bytes)
{
    if (code || phase_ == phase::closed || serializer_->is_done())
        return on_written(code);
    instant const now = instant::clock::now();
    held_.note_taken(bytes, now);
    progress_deadline_ = now + server_->limits.idle_timeout;
    write_some();
}

void http_session::on_written(beast::error_code code)
{
    writing_ = false;
    serializer_.reset();
    if (phase_ == phase::closed)
        return;
    if (code)
    {
        abandon_all();
        return close();
    }
    answered_any_ = true;
    bool const keep = outgoing_->keep_alive();
    outgoing_.reset();
    held_.note_taken(transfer_progress::step_bytes, instant::clock::now());
    release_answer(*slots_.front());
    slots_.pop_front();
    if (!keep)
        return linger();
    if (!slots_.empty() && slots_.front()->waiting)
        run(slots_.front());
    write_next();
    parse();
    read();
}

void http_session::watch_progress()
{
    // The timer runs on when an answer is written, which saves setting it for each answer.
    if (std::exchange(write_timer_runs_, true))
        return;
    write_timer_.expires_after(server_->limits.idle_timeout / progress_checks);
    write_timer_.async_wait(
        [self = shared_from_this()](beast::error_code code)
        {
            self->write_timer_runs_ = false;
            if (!code)
                self->on_progress_check();
        });
}

void http_session::on_progress_check()
{
    if (!writing_ || phase_ == phase::closed)
        return;
    // The kernel takes more only when it has sent a good part of what it holds, so the progress of
    // a slow caller shows there first.
    int unacknowledged = 0;
    bool const known = ::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
    instant const now = instant::clock::now();
    if (known && static_cast<std::size_t>(unacknowledged) < unacknowledged_bytes_)
        progress_deadline_ = now + server_->limits.idle_timeout;
    if (now >= progress_deadline_)
        return give_up(give_up_reason::no_progress);
    unacknowledged_bytes_ = known ? static_cast<std::size_t>(unacknowledged) : 0;
    watch_progress();
}

void http_session::give_up(give_up_reason reason)
{
    // Closing abandons the running requests, the last of which may hold the only other reference.
    auto const self = shared_from_this();
    auto& counters = server_->counters;
    ++(reason == give_up_reason::memory ? counters.given_up_for_memory
                                        : counters.given_up_without_progress);
    instant const now = instant::clock::now();
    log_change(log_level::warning, "caller_given_up",
               "peer=" + peer() + " reason=" + to_string(reason) +
                   " held_bytes=" + std::to_string(held_.bytes()) + " unread_for_ms=" +
                   std::to_string(remaining_ms(now, held_.progress().last_byte())) +
                   " host_held_bytes=" + std::to_string(counters.held_bytes) +
                   " unanswered=" + std::to_string(slots_.size()));
    // A reset drops what the kernel holds as well, and tells the caller that the answer is cut.
    beast::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void http_server_state::bound_held_bytes()
{
    while (counters.held_bytes > limits.max_held_bytes)
    {
        http_session* least = nullptr;
        for (auto* const session : sessions)
        {
            held_answers const& held = session->held();
            // One that exceeds the bound alone must not cost the others theirs.
            if (held.bytes() > limits.max_held_bytes)
                return session->give_up(give_up_reason::memory);
            if (held.bytes() > 0 && (least == nullptr || held.progress().last_step() <
                                                             least->held().progress().last_step()))
                least = session;
        }
        if (least == nullptr)
            return;
        std::uint64_t const before = counters.held_bytes;
        least->give_up(give_up_reason::memory);
        if (counters.held_bytes >= before)
            return;
    }
}

void http_session::write_continue()
{
    if (!continue_due_ || writing_ || !slots_.empty())
        return;
    continue_due_ = false;
    writing_ = true;
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(socket_, asio::buffer(interim),
                      [self = shared_from_this()](beast::error_code code, std::size_t)
                      {
                          self->writing_ = false;
                          if (code)
                              return self->close();
                          self->write_next();
                      });
}

} // namespace guavashed
