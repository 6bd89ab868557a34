#include "routing/attempt_policy.hpp"
#include "routing/retry_allowance.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace guavashed;

namespace
{

attempt_end answered(unsigned status, bool is_signed, bool not_executed = false)
{
    attempt_end end;
    end.answered = true;
    end.status = status;
    end.is_signed = is_signed;
    end.not_executed = not_executed;
    return end;
}

} // namespace

TEST_CASE("what follows from the end of an attempt")
{
    SECTION("a signed success is relayed")
    {
        CHECK(judge(answered(200, true)) == attempt_verdict::relay);
    }
    SECTION("a success without a signature is nobody's answer")
    {
        CHECK(judge(answered(200, false)) == attempt_verdict::may_have_run);
    }
    SECTION("only the upstream's own word makes a refusal a \"not run\"")
    {
        CHECK(judge(answered(503, false, true)) == attempt_verdict::not_run);
        CHECK(judge(answered(429, false, true)) == attempt_verdict::not_run);
        CHECK(judge(answered(503, true)) == attempt_verdict::may_have_run);
        CHECK(judge(answered(503, false)) == attempt_verdict::may_have_run);
        CHECK(judge(answered(500, true)) == attempt_verdict::may_have_run);
        CHECK(judge(answered(504, true)) == attempt_verdict::may_have_run);
    }
    SECTION("another upstream at the address has not run it")
    {
        CHECK(judge(answered(421, false)) == attempt_verdict::not_run);
    }
    SECTION("a request that did not leave has not run, one that left may have")
    {
        attempt_end end;
        CHECK(judge(end) == attempt_verdict::may_have_run);
        end.unsent = true;
        CHECK(judge(end) == attempt_verdict::not_run);
    }
    SECTION("a client's own mistake is relayed")
    {
        CHECK(judge(answered(404, true)) == attempt_verdict::relay);
        CHECK(judge(answered(400, false, true)) == attempt_verdict::relay);
    }
}

TEST_CASE("what an attempt tells of its upstream")
{
    auto const classified = [](attempt_end const& end) { return classify(end, judge(end)); };
    attempt_end unanswered;
    CHECK(classified(unanswered) == attempt_result::failed);
    attempt_end unsent;
    unsent.unsent = true;
    CHECK(classified(unsent) == attempt_result::unreachable);
    CHECK(classified(answered(200, true)) == attempt_result::answered);
    CHECK(classified(answered(404, true)) == attempt_result::answered);
    CHECK(classified(answered(200, false)) == attempt_result::failed);
    CHECK(classified(answered(500, true)) == attempt_result::failed);
    CHECK(classified(answered(503, false, true)) == attempt_result::shed);
    CHECK(classified(answered(421, false)) == attempt_result::misdirected);
}

TEST_CASE("second tries of all hosts stay inside the fleet's budget")
{
    // The users' budget: 0.2 of the requests and 64 more in any ten seconds.
    constexpr double ratio = 0.2;
    constexpr double extra = 64;
    constexpr std::size_t hosts = 18;
    std::mt19937_64 random(20261204);
    std::vector<retry_allowance> allowances(hosts);
    for (auto& item : allowances)
        item.set(ratio * 0.9, std::max(1.0, extra / 2 / hosts));
    constexpr std::size_t windows = 50;
    for (std::size_t window = 0; window < windows; ++window)
    {
        std::size_t requests = 0;
        std::size_t retries = 0;
        std::size_t const load = random() % 3000;
        for (std::size_t i = 0; i < load; ++i)
        {
            retry_allowance& host = allowances[random() % hosts];
            host.earn();
            ++requests;
            // Every request fails and wants another try.
            if (host.spend())
                ++retries;
        }
        CHECK(retries <= ratio * double(requests) + extra);
    }
}
