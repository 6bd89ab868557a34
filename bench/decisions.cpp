// Measures the time and the allocations of one steering decision and of one admission decision, at
// the design size.
#include "entry/admission_queue.hpp"
#include "entry/steering_table.hpp"
#include "figures.hpp"

#include <chrono>

namespace bench
{
using namespace guavashed;

namespace
{

constexpr std::size_t regions = 17;
constexpr std::size_t sites = 130;
constexpr std::size_t hosts = 1000;
constexpr std::size_t blocks = 130'000;
constexpr int rounds = 2'000'000;

/// Mean time of one of `count` operations since `start`, in nanoseconds.
double mean_ns_since(instant start, int count)
{
    std::chrono::duration<double, std::nano> const passed = instant::clock::now() - start;
    return passed.count() / count;
}

void measure_steering()
{
    configuration config;
    fleet_view view;
    view_push push;
    push.whole = true;
    for (std::size_t r = 0; r < regions; ++r)
    {
        region_config region;
        region.name = region_name("region" + std::to_string(r));
        region.client_prefixes = {"10." + std::to_string(r) + "."};
        config.regions.push_back(region);
    }
    for (std::size_t s = 0; s < sites; ++s)
        config.regions[s % regions].failure_domains.emplace_back("site" + std::to_string(s));
    for (std::size_t h = 0; h < hosts; ++h)
    {
        host_row row;
        row.host = host_name("host" + std::to_string(h));
        row.region = config.regions[h % sites % regions].name;
        row.domain = failure_domain_name("site" + std::to_string(h % sites));
        row.caller_endpoint = endpoint_text("127.0.0.1:" + std::to_string(10'000 + h));
        row.phase = host_phase::serving;
        push.changed.push_back(row);
    }
    view.apply(push);
    steering_table table(blocks);
    instant start = instant::clock::now();
    table.rebuild(config, view);
    print("steering_table_rebuild_ms", mean_ns_since(start, 1) / 1e6, "ms");

    auto const table_sites = table.sites();
    std::size_t found = 0;
    std::uint64_t const before = allocations();
    start = instant::clock::now();
    for (int i = 0; i < rounds; ++i)
        found +=
            table.choose(*table_sites, block_index(static_cast<std::uint32_t>(i % blocks))).count;
    double const choose_ns = mean_ns_since(start, rounds);
    std::uint64_t const choose_allocations = allocations() - before;
    print("steering_decision_ns", choose_ns, "ns");
    print("steering_decision_allocs", double(choose_allocations), "allocations");
    print("steering_choices_found", double(found) / rounds, "hosts");

    // Losing all hosts of one site should move the blocks of that site only.
    push.changed.clear();
    push.whole = false;
    for (std::size_t h = 0; h < hosts; h += sites)
        push.gone.emplace_back("host" + std::to_string(h));
    view.apply(push);
    print("blocks_moved_by_one_site_of_130", double(table.rebuild(config, view)) / blocks * 1000,
          "permille");
}

void measure_admission()
{
    std::array<permille, rank_count> const floors = {permille(500), permille(200), permille(50)};
    admission_queue queue(make_ranked_order(floors), {8192, 8192});
    service_rate const rate{slot_count(80), microseconds(40'000), microseconds(80'000)};
    instant const now = instant::clock::now();
    std::uint64_t id = 1;
    for (int i = 0; i < 2000; ++i)
    {
        queue.submit(now,
                     {request_id(id), static_cast<rank>(id % 3), now + std::chrono::seconds(60),
                      now, id % 97},
                     rate);
        ++id;
    }
    // With 2000 items queued beforehand, each round submits one item and takes one.
    std::uint64_t const before = allocations();
    instant const start = instant::clock::now();
    for (int i = 0; i < rounds; ++i)
    {
        queue.submit(now,
                     {request_id(id), static_cast<rank>(id % 3), now + std::chrono::seconds(60),
                      now, id % 97},
                     rate);
        ++id;
        queue.take(now);
    }
    double const admit_ns = mean_ns_since(start, rounds);
    std::uint64_t const admit_allocations = allocations() - before;
    print("admission_decision_ns", admit_ns, "ns");
    print("admission_decision_allocs", double(admit_allocations), "allocations");
}

} // namespace

void run_decisions()
{
    measure_steering();
    measure_admission();
}

} // namespace bench
