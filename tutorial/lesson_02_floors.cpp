/// \file
/// Lesson 2: which work runs first, and how much capacity is left for the rest?
///
/// An admission queue holds the waiting work of one service. Work has a rank, and urgent work is
/// dispatched first. So that a flood of urgent work cannot starve the other ranks, each rank has a
/// floor: a share of the dispatches that it gets as long as it has work waiting.
///
/// Run it:
///     build/tutorial/lesson_02_floors
#include "entry/admission_queue.hpp"

#include <iostream>

using namespace guavashed;

int main()
{
    // The floors: half of all dispatches for urgent work, a fifth for normal work, none for the
    // lowest rank. The service has 4 slots, and a piece of work holds a slot for 40 ms on average
    // and for 80 ms at most in nearly all cases.
    admission_queue queue(make_ranked_order({permille(500), permille(200), permille(0)}), {});
    service_rate const rate{slot_count(4), milliseconds(40), milliseconds(80)};
    instant const now = instant::clock::now();

    // 200 pieces of urgent work arrive, then 50 pieces of normal work from another caller.
    std::uint64_t id = 1;
    for (int i = 0; i < 200; ++i)
        queue.submit(now, {request_id(id++), rank::urgent, now + std::chrono::hours(1), now, 1},
                     rate);
    for (int i = 0; i < 50; ++i)
        queue.submit(now, {request_id(id++), rank::normal, now + std::chrono::hours(1), now, 2},
                     rate);

    // Of the next 100 dispatches, at least 20 go to normal work, though urgent work is still
    // waiting.
    int normal = 0;
    for (int i = 0; i < 100; ++i)
        if (queue.take(now)->importance == rank::normal)
            ++normal;
    std::cout << "of 100 dispatches in an urgent flood, normal work got " << normal << "\n";

    // For new work, the queue estimates the wait from the work ahead of it. Work that cannot meet
    // its deadline is refused at once, so that its caller can still act, for example by calling
    // another host.
    auto const verdict =
        queue.submit(now, {request_id(id), rank::normal, now + milliseconds(100), now, 3}, rate);
    std::cout << "work with 100 ms left: " << to_string(verdict) << "\n";
    return normal >= 20 && verdict == admission_verdict::deadline_too_near ? 0 : 1;
}
