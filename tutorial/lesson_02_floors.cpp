/// \file
/// Lesson 2: who goes first, and what do the others keep?
///
/// An admission queue serves urgent work first, but each rank keeps its floor of the dispatches.
///     build/tutorial/lesson_02_floors
#include "entry/admission_queue.hpp"

#include <iostream>

using namespace guavashed;

int main()
{
    // Urgent work keeps half of all dispatches, normal work a fifth.
    admission_queue queue(make_ranked_order({permille(500), permille(200), permille(0)}), {});
    service_rate const rate{slot_count(4), milliseconds(40), milliseconds(80)};
    instant const now = instant::clock::now();

    // A flood of urgent work, and some normal work behind it.
    std::uint64_t id = 1;
    for (int i = 0; i < 200; ++i)
        queue.submit(now, {request_id(id++), rank::urgent, now + std::chrono::hours(1), now, 1},
                     rate);
    for (int i = 0; i < 50; ++i)
        queue.submit(now, {request_id(id++), rank::normal, now + std::chrono::hours(1), now, 2},
                     rate);

    int normal = 0;
    for (int i = 0; i < 100; ++i)
        if (queue.take(now)->importance == rank::normal)
            ++normal;
    std::cout << "of 100 dispatches in an urgent flood, normal work got " << normal << "\n";

    // Work that cannot meet its deadline is refused at once, so that its caller can act.
    auto const verdict =
        queue.submit(now, {request_id(id), rank::normal, now + milliseconds(100), now, 3}, rate);
    std::cout << "work with 100 ms left: " << to_string(verdict) << "\n";
    return normal >= 20 && verdict == admission_verdict::deadline_too_near ? 0 : 1;
}
