// Guards against running the work of one idempotency key twice, and against reporting as not run
// work that ran. Either can happen when several entry hosts claim a key at the same time, requests
// to the recorders are lost or delayed, or a recorder loses its disk and with it the claims it
// granted.
#include "control/claim_book.hpp"
#include "entry/claim_round.hpp"
#include "entry/ticket.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <rapidcheck/catch.h>
#include <set>

using namespace guavashed;

namespace
{

wall_instant wall(std::int64_t ms)
{
    return wall_instant(std::chrono::hours(100) + milliseconds(ms));
}

claim_request request(claim_step step, char const* key, std::uint64_t attempt,
                      std::int64_t issued = 10'000)
{
    return {step,
            idempotency_key(key),
            attempt_id(attempt),
            wall_ms(wall(issued)),
            wall_ms(wall(issued + 60'000)),
            {200, "done " + std::to_string(attempt), true}};
}

/// Simulates claimants that compete for a few keys at three recorders. Requests and replies are
/// delayed, reordered or lost, claimants fail after execution, and recorders lose their disks.
class race
{
public:
    explicit race(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < recorders; ++i)
            books_.emplace_back(wall(0));
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step)
        {
            now_ms_ += static_cast<std::int64_t>(random_() % 20);
            switch (random_() % 12)
            {
            case 0:
                begin();
                break;
            case 1:
                lose_disk();
                break;
            case 2:
                time_out();
                break;
            default:
                deliver();
                break;
            }
        }
    }

private:
    static constexpr std::size_t recorders = 3;
    static constexpr std::size_t keys = 4;

    struct claimant
    {
        std::string key;
        std::int64_t issued = 0;
        claim_round round{recorders};
        bool decided = false;
    };
    struct transit
    {
        std::size_t recorder = 0;
        claim_request request;
    };

    std::string key_text(std::size_t i) const { return "key" + std::to_string(i); }

    void begin()
    {
        std::size_t const i = random_() % keys;
        auto const [issued, fresh] = issued_.emplace(i, now_ms_);
        claimant item;
        item.key = key_text(i);
        item.issued = issued->second;
        std::uint64_t const attempt = next_attempt_++;
        for (std::size_t r = 0; r < recorders; ++r)
            transit_.push_back(
                {r, request(claim_step::claim, item.key.c_str(), attempt, item.issued)});
        claimants_.emplace(attempt, item);
    }

    void deliver()
    {
        if (transit_.empty())
            return;
        std::size_t const at = random_() % transit_.size();
        transit const item = transit_[at];
        // Requests of one claimant to one recorder keep their order, as on one session.
        for (std::size_t earlier = 0; earlier < at; ++earlier)
            if (transit_[earlier].recorder == item.recorder &&
                transit_[earlier].request.attempt == item.request.attempt)
                return;
        transit_.erase(transit_.begin() + static_cast<std::ptrdiff_t>(at));
        if (random_() % 10 == 0)
            return; // request lost
        claim_reply const reply = books_[item.recorder].apply(wall(now_ms_), item.request);
        auto const claimant = claimants_.find(item.request.attempt.value());
        if (item.request.step != claim_step::claim || claimant->second.decided ||
            random_() % 10 == 0)
            return;
        auto const verdict =
            claimant->second.round.vote(host_name("r" + std::to_string(item.recorder)), reply);
        if (verdict)
            decide(item.request.attempt.value(), claimant->second, *verdict);
    }

    void time_out()
    {
        for (auto& [attempt, item] : claimants_)
            if (!item.decided && random_() % 3 == 0)
            {
                decide(attempt, item, item.round.close());
                return;
            }
    }

    void decide(std::uint64_t attempt, claimant& item, claim_verdict verdict)
    {
        item.decided = true;
        claim_step next = claim_step::abandon;
        if (verdict == claim_verdict::granted && random_() % 4 != 0)
        {
            if (!ran_.insert(item.key).second)
                throw std::logic_error(item.key + " ran twice");
            next = claim_step::settle;
            if (random_() % 5 == 0)
                return; // the claimant fails after execution and sends no settle request
        }
        else if (verdict == claim_verdict::granted && ran_.contains(item.key))
            throw std::logic_error(item.key + " would be reported as not run, but it ran");
        for (std::size_t r = 0; r < recorders; ++r)
            transit_.push_back({r, request(next, item.key.c_str(), attempt, item.issued)});
    }

    void lose_disk()
    {
        if (random_() % 10 != 0)
            return;
        books_[random_() % recorders] = claim_book(wall(now_ms_));
    }

    std::mt19937_64 random_;
    std::int64_t now_ms_ = 10'000;
    std::uint64_t next_attempt_ = 1;
    std::vector<claim_book> books_;
    std::map<std::size_t, std::int64_t> issued_;
    std::map<std::uint64_t, claimant> claimants_;
    std::vector<transit> transit_;
    std::set<std::string> ran_;
};

} // namespace

SCENARIO("a recorder grants a key to one attempt until it is abandoned or expires")
{
    GIVEN("a recorder")
    {
        claim_book book(wall(0));
        CHECK(book.apply(wall(11'000), request(claim_step::claim, "k", 1)).vote ==
              claim_vote::granted);
        WHEN("the same attempt claims again")
        {
            CHECK(book.apply(wall(11'000), request(claim_step::claim, "k", 1)).vote ==
                  claim_vote::granted);
        }
        WHEN("another attempt claims the key")
        {
            CHECK(book.apply(wall(11'000), request(claim_step::claim, "k", 2)).vote ==
                  claim_vote::held_elsewhere);
        }
        WHEN("the attempt is abandoned")
        {
            book.apply(wall(11'000), request(claim_step::abandon, "k", 1));
            THEN("another attempt is granted the key")
            {
                CHECK(book.apply(wall(11'000), request(claim_step::claim, "k", 2)).vote ==
                      claim_vote::granted);
            }
        }
        WHEN("the attempt is settled")
        {
            book.apply(wall(11'000), request(claim_step::settle, "k", 1));
            THEN("a resend gets the recorded answer")
            {
                auto const reply = book.apply(wall(11'000), request(claim_step::claim, "k", 2));
                CHECK(reply.vote == claim_vote::settled);
                CHECK(reply.answer.body == "done 1");
            }
            AND_WHEN("its ticket expires")
            {
                CHECK(book.expire(wall(80'000)) == 1);
                CHECK(book.size() == 0);
                THEN("a resend is refused as expired")
                {
                    CHECK(book.apply(wall(80'000), request(claim_step::claim, "k", 2)).vote ==
                          claim_vote::expired);
                }
            }
        }
        WHEN("the book is rebuilt from its records")
        {
            book.apply(wall(11'000), request(claim_step::settle, "k", 1));
            claim_book copy(wall(0));
            book.for_each([&](claim_request const& item) { copy.restore(item); });
            CHECK(copy.apply(wall(11'000), request(claim_step::claim, "k", 2)).vote ==
                  claim_vote::settled);
        }
    }
    GIVEN("a recorder whose disk was first used after the ticket was issued")
    {
        claim_book book(wall(20'000));
        CHECK(book.apply(wall(21'000), request(claim_step::claim, "k", 1)).vote ==
              claim_vote::abstained);
    }
}

SCENARIO("concurrent claims at three recorders run each key at most once")
{
    rc::prop("no key runs twice, and none that ran is reported as not run",
             [](std::uint64_t seed) { race(seed).run(600); });
}

// A ticket that changed in printing or parsing would send claims to other recorders than the first
// attempt's, where they would be granted again.
SCENARIO("a parsed ticket equals the printed one")
{
    ticket const issued{{host_name("c1"), host_name("c2")}, wall(1), wall(2)};
    auto const read = parse_ticket(idempotency_key(print_ticket(issued) + "42"));
    REQUIRE(read);
    CHECK(read.value().recorders == issued.recorders);
    CHECK(read.value().issued == issued.issued);
    CHECK(read.value().expires == issued.expires);
}
