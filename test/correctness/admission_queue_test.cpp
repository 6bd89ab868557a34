// Tests of admission_queue: dispatch order, refusals and the bookkeeping of waiting requests.
#include "entry/admission_queue.hpp"
#include "support.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <rapidcheck/catch.h>

using namespace guavashed;

namespace
{

constexpr std::array<permille, rank_count> floors = {permille(500), permille(200), permille(100)};

work_item item(std::uint64_t id, rank r, std::int64_t deadline_ms = 1'000'000)
{
    return {request_id(id), r, at_ms(deadline_ms), at_ms(0), id};
}

service_rate rate(std::uint32_t slots = 8)
{
    return {slot_count(slots), microseconds(50'000), microseconds(100'000)};
}

/// Dispatches of each rank out of 1000 while 100 requests of the flooding rank and two of each
/// other rank always wait.
std::array<int, rank_count> shares_under_flood(std::unique_ptr<dispatch_order> order, rank flood)
{
    admission_queue queue(std::move(order), {20'000, 100'000});
    std::uint64_t id = 1;
    std::array<int, rank_count> served{};
    for (int i = 0; i < 1000; ++i)
    {
        for (std::size_t r = 0; r < rank_count; ++r)
        {
            auto const importance = static_cast<rank>(r);
            std::size_t const wanted = importance == flood ? 100 : 2;
            while (queue.waiting(importance) < wanted)
                queue.submit(at_ms(0), item(id++, importance), rate());
        }
        ++served[index_of(queue.take(at_ms(0))->importance)];
    }
    return served;
}

} // namespace

// Guards against starvation: under strict priority a flood of one rank takes every dispatch, and
// requests of the other ranks wait until they expire.
SCENARIO("dispatch follows priority and each rank keeps its floor under a flood")
{
    for (rank const flood : {rank::urgent, rank::normal, rank::archive})
    {
        GIVEN("a flood of rank " + std::to_string(index_of(flood)))
        {
            auto const served = shares_under_flood(make_ranked_order(floors), flood);
            for (std::size_t r = 0; r < rank_count; ++r)
                CHECK(served[r] >= static_cast<int>(floors[r].value()) - 5);
        }
    }
    GIVEN("strict priority and a flood of urgent work, for comparison")
    {
        auto const served = shares_under_flood(make_strict_order(), rank::urgent);
        THEN("normal work gets no dispatch")
        {
            CHECK(served[index_of(rank::normal)] == 0);
        }
    }
    GIVEN("one request of each rank and no flood")
    {
        admission_queue queue(make_ranked_order(floors), {100, 100});
        queue.submit(at_ms(0), item(1, rank::archive), rate());
        queue.submit(at_ms(0), item(2, rank::normal), rate());
        queue.submit(at_ms(0), item(3, rank::urgent), rate());
        CHECK(queue.take(at_ms(0))->id == request_id(3));
        CHECK(queue.take(at_ms(0))->id == request_id(2));
        CHECK(queue.take(at_ms(0))->id == request_id(1));
        CHECK_FALSE(queue.take(at_ms(0)));
    }
}

// Guards against queues of requests that are bound to miss their deadlines: such requests delay
// others and are then sent too late to be of use. Also guards against one caller filling the queue.
SCENARIO("a request that cannot meet its deadline or exceeds its caller's limit is refused")
{
    admission_queue queue(make_ranked_order(floors), {100, 10});
    GIVEN("eight waiting requests and one slot")
    {
        for (std::uint64_t id = 1; id <= 8; ++id)
            REQUIRE(queue.submit(at_ms(0), item(id, rank::normal), rate(1)) ==
                    admission_verdict::queued);
        THEN("a ninth request with 300 ms left is refused and one with 1000 ms is queued")
        {
            CHECK(queue.submit(at_ms(0), item(9, rank::normal, 300), rate(1)) ==
                  admission_verdict::deadline_too_near);
            CHECK(queue.submit(at_ms(0), item(9, rank::normal, 1000), rate(1)) ==
                  admission_verdict::queued);
        }
        THEN("the expected wait of urgent work is zero")
        {
            CHECK(queue.expected_wait(rank::urgent, rate(1)) == microseconds(0));
        }
        THEN("a request past its deadline is taken out as expired")
        {
            queue.submit(at_ms(0), item(10, rank::urgent, 400), rate(8));
            auto const expired = queue.take_expired(at_ms(500));
            REQUIRE(expired);
            CHECK(expired->id == request_id(10));
        }
    }
    GIVEN("a caller with as many waiting requests as it may have")
    {
        work_item same = item(1, rank::normal);
        for (std::uint64_t id = 1; id <= 10; ++id)
        {
            same.id = request_id(id);
            same.caller_hash = 7;
            CHECK(queue.submit(at_ms(0), same, rate()) == admission_verdict::queued);
        }
        same.id = request_id(11);
        CHECK(queue.submit(at_ms(0), same, rate()) == admission_verdict::caller_limit);
        THEN("a request of another caller is queued")
        {
            same.caller_hash = 8;
            CHECK(queue.submit(at_ms(0), same, rate()) == admission_verdict::queued);
        }
    }
}

// Guards against corrupted lists: a request cancelled in the middle of its rank's list could still
// be dispatched, or its neighbours could be lost. The queue is compared with a simple model.
SCENARIO("random submissions, cancellations and dispatches leave the queue consistent")
{
    rc::prop("each request leaves the queue once, in order of arrival within its rank",
             [](std::uint64_t seed)
             {
                 std::mt19937_64 random(seed);
                 admission_queue queue(make_ranked_order(floors), {64, 64});
                 std::map<std::size_t, std::vector<std::uint64_t>> model;
                 std::uint64_t id = 1;
                 for (int step = 0; step < 2000; ++step)
                 {
                     auto const r = static_cast<rank>(random() % rank_count);
                     auto& lane = model[index_of(r)];
                     if (random() % 2 == 0)
                     {
                         if (queue.submit(at_ms(0), item(id, r), rate()) ==
                             admission_verdict::queued)
                             lane.push_back(id);
                         ++id;
                     }
                     else if (random() % 4 == 0 && !lane.empty())
                     {
                         std::size_t const at = random() % lane.size();
                         RC_ASSERT(queue.cancel(request_id(lane[at])));
                         lane.erase(lane.begin() + static_cast<std::ptrdiff_t>(at));
                     }
                     else if (auto const taken = queue.take(at_ms(0)))
                     {
                         auto& from = model[index_of(taken->importance)];
                         RC_ASSERT(!from.empty());
                         RC_ASSERT(request_id(from.front()) == taken->id);
                         from.erase(from.begin());
                     }
                     std::size_t sum = 0;
                     for (auto const& [index, waiting] : model)
                         sum += waiting.size();
                     RC_ASSERT(queue.waiting() == sum);
                 }
             });
}
