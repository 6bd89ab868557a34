// Tests of the verdict on an attempt, of its classification, and of the retry budget.
#include "routing/attempt_policy.hpp"
#include "routing/retry_token_bucket.hpp"

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
    if (not_executed)
        end.statement = execution_statement::not_run;
    return end;
}

} // namespace

// Guards against running a request twice, or telling the caller "not run" about one that ran. Both
// happen if a proxy, or another process at the address, is taken for the upstream.
TEST_CASE("an attempt is judged by what its response proves")
{
    SECTION("a signed success is relayed")
    {
        CHECK(judge(answered(200, true)) == attempt_verdict::relay);
    }
    SECTION("a success without a signature is not relayed")
    {
        CHECK(judge(answered(200, false)) == attempt_verdict::may_have_run);
    }
    SECTION("a refusal counts as \"not run\" only if the upstream states it")
    {
        CHECK(judge(answered(503, false, true)) == attempt_verdict::not_run);
        CHECK(judge(answered(429, false, true)) == attempt_verdict::not_run);
        CHECK(judge(answered(503, true)) == attempt_verdict::may_have_run);
        CHECK(judge(answered(503, false)) == attempt_verdict::may_have_run);
        CHECK(judge(answered(500, true)) == attempt_verdict::may_have_run);
        CHECK(judge(answered(504, true)) == attempt_verdict::may_have_run);
    }
    SECTION("a status that promises \"not run\" isn't relayed without the upstream's statement")
    {
        unsigned const status = GENERATE(408u, 429u, 503u);
        CHECK(judge(answered(status, true)) == attempt_verdict::may_have_run);
        CHECK_FALSE(may_relay_failure(answered(status, true)));
        CHECK_FALSE(may_relay_failure(answered(status, false)));
        CHECK(may_relay_failure(answered(500, true)));
        CHECK(may_relay_failure(answered(504, true)));
    }
    SECTION("a refusal that its own answer contradicts proves nothing")
    {
        attempt_end refusal = answered(GENERATE(421u, 429u, 503u), false, true);
        REQUIRE(judge(refusal) == attempt_verdict::not_run);
        CHECK_FALSE(is_unproven_refusal(refusal));
        SECTION("it has the signature of a run")
        {
            refusal.is_signed = true;
        }
        SECTION("further bytes follow")
        {
            refusal.has_surplus = true;
        }
        SECTION("its statement is unclear")
        {
            refusal.statement = execution_statement::unclear;
        }
        CHECK(judge(refusal) == attempt_verdict::may_have_run);
        CHECK(classify(refusal, judge(refusal)) == attempt_result::failed);
        CHECK(is_unproven_refusal(refusal));
        CHECK_FALSE(may_relay_failure(refusal));
    }
    SECTION("the addressed upstream does not prove that another one has its address")
    {
        attempt_end refusal = answered(421, false, true);
        refusal.sender = answer_sender::other;
        CHECK(judge(refusal) == attempt_verdict::not_run);
        refusal.sender = answer_sender::target;
        CHECK(judge(refusal) == attempt_verdict::may_have_run);
    }
    SECTION("a timeout of the upstream is relayed as \"not run\" only with proof")
    {
        attempt_end refusal = answered(408, false, true);
        CHECK(judge(refusal) == attempt_verdict::relay);
        refusal.has_surplus = true;
        CHECK(judge(refusal) == attempt_verdict::may_have_run);
    }
    SECTION("a response that another upstream has the address counts as \"not run\"")
    {
        CHECK(judge(answered(421, false)) == attempt_verdict::not_run);
    }
    SECTION("an unsent request has not run, a sent one without a response may have")
    {
        attempt_end end;
        CHECK(judge(end) == attempt_verdict::may_have_run);
        end.unsent = true;
        CHECK(judge(end) == attempt_verdict::not_run);
    }
    SECTION("a status that is not one of a response proves nothing and is never relayed")
    {
        unsigned const status = GENERATE(0u, 7u, 99u, 100u, 199u, 600u, 999u);
        attempt_end end = answered(status, GENERATE(true, false), GENERATE(true, false));
        CHECK(judge(end) == attempt_verdict::may_have_run);
        CHECK(classify(end, judge(end)) == attempt_result::failed);
        CHECK_FALSE(may_relay_failure(end));
        CHECK_FALSE(proves_not_run(end));
    }
    SECTION("an error of the caller's request is relayed")
    {
        CHECK(judge(answered(404, true)) == attempt_verdict::relay);
        CHECK(judge(answered(400, false, true)) == attempt_verdict::relay);
    }
}

// Guards against ejecting an upstream for a refusal or for an error of the caller, and against
// missing a failed one.
TEST_CASE("an attempt is classified by what it indicates about its upstream")
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

// Guards against a retry storm: each host keeps to its own allowance, but the sum over all hosts
// exceeds the fleet's budget.
TEST_CASE("retries of all hosts together stay within the fleet's budget")
{
    // The required budget: 0.2 of the requests plus 64, in any ten seconds.
    constexpr double ratio = 0.2;
    constexpr double extra = 64;
    constexpr std::size_t hosts = 18;
    std::mt19937_64 random(20261204);
    std::vector<retry_token_bucket> allowances(hosts);
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
            retry_token_bucket& host = allowances[random() % hosts];
            host.earn();
            ++requests;
            // Every first attempt fails, so that each request needs a retry.
            if (host.spend())
                ++retries;
        }
        CHECK(retries <= ratio * double(requests) + extra);
    }
}
