/// \file
/// Runs stand-in upstreams in one process on consecutive ports. On SIGTERM or SIGINT they leave
/// gracefully, and the sums of their counters are printed as JSON.
#include "arguments.hpp"
#include "upstream.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <future>
#include <iostream>

namespace
{
using namespace guavashed;

constexpr std::chrono::seconds drain_timeout{30};

std::string address_of(std::string const& first, unsigned offset)
{
    auto const colon = first.rfind(':');
    return first.substr(0, colon + 1) +
           std::to_string(std::stoul(first.substr(colon + 1)) + offset);
}

} // namespace

int main(int argc, char** argv)
{
    standin::arguments const given(argc, argv);
    event_loop owner("upstreams");
    std::vector<std::unique_ptr<standin::upstream>> upstreams;
    auto const count = static_cast<unsigned>(given.number("count", 1));
    for (unsigned i = 0; i < count; ++i)
    {
        standin::upstream_settings settings;
        settings.name = given.text("name") + "-" + std::to_string(i);
        settings.service = given.text("service");
        settings.region = given.text("region");
        settings.domain = given.text("domain");
        settings.address = address_of(given.text("address"), i);
        settings.slots = static_cast<unsigned>(given.number("slots", 4));
        settings.service_ms = given.number("service-ms", 40);
        settings.spread = given.number("spread", 0.5);
        settings.cold_factor = given.number("cold-factor", 1);
        settings.cold_work = static_cast<unsigned>(given.number("cold-work", 0));
        settings.fault_share = given.number("fault-share", 0);
        settings.seeds = given.list("seeds");
        settings.ledger_path = given.text("ledger");
        settings.seed = static_cast<std::uint64_t>(given.number("seed", 1)) * 1000 + i;
        upstreams.push_back(std::make_unique<standin::upstream>(owner, settings));
        if (!upstreams.back()->start())
        {
            std::cerr << settings.name << ": cannot listen on " << settings.address << "\n";
            return 1;
        }
    }
    boost::asio::io_context signals_context;
    boost::asio::signal_set signals(signals_context, SIGTERM, SIGINT);
    signals.async_wait([](boost::system::error_code, int) {});
    signals_context.run();

    boost::asio::post(owner.context(),
                      [&]
                      {
                          for (auto& item : upstreams)
                              item->leave();
                      });
    auto const deadline = instant::clock::now() + drain_timeout;
    auto const earliest_exit = instant::clock::now() + std::chrono::seconds(4);
    bool finished = false;
    while (instant::clock::now() < deadline && (!finished || instant::clock::now() < earliest_exit))
    {
        std::this_thread::sleep_for(milliseconds(50));
        std::promise<bool> answer;
        boost::asio::post(owner.context(),
                          [&]
                          {
                              bool all = true;
                              for (auto& item : upstreams)
                                  all = all && item->finished();
                              answer.set_value(all);
                          });
        finished = answer.get_future().get();
    }
    owner.stop();
    standin::upstream_totals sum;
    for (auto& item : upstreams)
    {
        auto const totals = item->totals();
        sum.ran += totals.ran;
        sum.overruns += totals.overruns;
        sum.doubled += totals.doubled;
        sum.cancelled += totals.cancelled;
        sum.shed += totals.shed;
        sum.late_work += totals.late_work;
        sum.cut_at_exit += item->in_flight();
    }
    boost::json::object const report{{"ran", sum.ran},
                                     {"overruns", sum.overruns},
                                     {"doubled", sum.doubled},
                                     {"shed", sum.shed},
                                     {"cancelled", sum.cancelled},
                                     {"late_work", sum.late_work},
                                     {"cut_at_exit", sum.cut_at_exit}};
    std::cout << boost::json::serialize(report) << std::endl;
    return 0;
}
