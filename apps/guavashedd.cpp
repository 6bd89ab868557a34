/// \file
/// The daemon: runs the role, entry or control, that its settings select.
#include "base/log.hpp"
#include "control/control_node.hpp"
#include "daemon/process_lifecycle.hpp"
#include "daemon/settings.hpp"
#include "entry/entry_node.hpp"

#include <boost/asio/signal_set.hpp>
#include <iostream>

namespace
{
using namespace guavashed;

constexpr std::chrono::seconds entry_drain_timeout{120};
constexpr std::chrono::seconds leadership_transfer_timeout{5};
constexpr int exit_usage = 2;
constexpr int exit_failure = 1;

/// The components of this process; `control` or `entry` is null when it doesn't have that role.
struct daemon_process
{
    std::unique_ptr<control_node> control;
    std::unique_ptr<entry_node> entry;
    std::unique_ptr<operator_port> port;
};

result<void> start(daemon_settings const& settings, daemon_process& process)
{
    operator_port::sinks to;
    if (settings.control)
    {
        process.control = std::make_unique<control_node>(settings);
        BOOST_OUTCOME_TRY(process.control->start());
        to.control = [&process](operator_request item)
        { return process.control->submit(std::move(item)); };
    }
    if (settings.entry)
    {
        process.entry = std::make_unique<entry_node>(settings);
        BOOST_OUTCOME_TRY(process.entry->start());
        to.entry = [&process](operator_request item)
        { return process.entry->submit(std::move(item)); };
    }
    process.port = std::make_unique<operator_port>(settings.operator_key, to);
    return process.port->listen(settings.operator_listen);
}

/// Shuts the roles down gracefully; returns false when entry work was unfinished at the timeout.
bool drain(daemon_process& process)
{
    bool all_finished = true;
    if (process.entry)
        all_finished = process.entry->leave(instant::clock::now() + entry_drain_timeout);
    if (process.control)
        process.control->leave(instant::clock::now() + leadership_transfer_timeout);
    return all_finished;
}

int run(daemon_settings const& settings)
{
    start_log(settings.name.value());
    // Signals are handled from here on, so that one received during startup still leads to a
    // graceful shutdown.
    boost::asio::io_context signal_context;
    boost::asio::signal_set signals(signal_context, SIGTERM, SIGINT);
    signals.async_wait([](boost::system::error_code, int) {});
    process_lifecycle lifecycle;
    daemon_process process;
    auto const started = start(settings, process);
    if (!started)
    {
        std::cerr << "guavashedd: " << to_string(started.error()) << "\n";
        return exit_failure;
    }
    lifecycle.fire(process_event::started);
    signal_context.run();
    lifecycle.fire(process_event::stop_requested);
    log_change(log_level::info, "process_phase",
               std::string("phase=") + to_string(lifecycle.phase()));
    bool const all_finished = drain(process);
    lifecycle.fire(process_event::drained);
    process.port->stop();
    if (process.entry)
        process.entry->stop();
    if (process.control)
        process.control->stop();
    return all_finished ? 0 : exit_failure;
}

} // namespace

int main(int argc, char** argv)
{
    auto const parsed = read_settings({argv + 1, argv + argc});
    if (!parsed)
    {
        std::cerr << "guavashedd: " << to_string(parsed.error()) << "\n";
        return exit_usage;
    }
    if (parsed.value().print_only)
    {
        std::cout << parsed.value().print.text;
        return parsed.value().print.exit_code;
    }
    if (parsed.value().settings.check_only)
    {
        std::cout << "settings are valid\n";
        return 0;
    }
    int const code = run(parsed.value().settings);
    stop_log();
    return code;
}
