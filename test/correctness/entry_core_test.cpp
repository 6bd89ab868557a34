// Tests of entry_core, the state machine of an entry host, on simulated time.
#include "entry/entry_core.hpp"
#include "support.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>
#include <set>

using namespace guavashed;

namespace
{

configuration test_configuration(std::uint64_t version = 1, std::uint32_t cap = 100)
{
    configuration out;
    out.version = config_version(version);
    service_config roster;
    roster.name = service_name("roster");
    roster.kinds = {{work_kind_name("confirm"), rank::urgent, false, 500, permille(999)},
                    {work_kind_name("check"), rank::normal, true, 500, permille(990)},
                    {work_kind_name("browse"), rank::archive, true, 500, permille(900)}};
    roster.floors = {permille(500), permille(200), permille(50)};
    out.services.push_back(roster);
    region_config north;
    north.name = region_name("north");
    north.failure_domains = {failure_domain_name("north-a")};
    north.slot_cap = slot_count(cap);
    north.entry_hosts = 1;
    out.regions.push_back(north);
    return out;
}

fleet_state test_state(std::uint64_t version = 1, std::uint32_t cap = 100)
{
    return {test_configuration(version, cap), {{host_name("e0"), region_name("north"), 0}}};
}

entry_settings test_settings(std::uint64_t seed)
{
    entry_settings out;
    out.host = host_name("e0");
    out.region = region_name("north");
    out.domain = failure_domain_name("north-a");
    out.life = incarnation(1);
    out.seed = seed;
    return out;
}

std::string ticket_text(std::int64_t now_ms)
{
    wall_instant const now{milliseconds(now_ms)};
    return print_ticket(
        {{host_name("c0"), host_name("c1"), host_name("c2")}, now, now + std::chrono::minutes(10)});
}

host_row neighbour(std::uint16_t slots)
{
    host_row row;
    row.host = host_name("e1");
    row.life = incarnation(1);
    row.region = region_name("north");
    row.domain = failure_domain_name("north-a");
    row.caller_endpoint = endpoint_text("127.0.0.1:2");
    row.peer_endpoint = endpoint_text("127.0.0.1:3");
    row.phase = host_phase::serving;
    row.services.push_back({service_name("roster"), slots, 0, {}, 50'000});
    return row;
}

/// Drives an entry_core with random events from upstreams, recorders, a neighbouring entry host and
/// callers, all of which misbehave: attempts fail or get lost, claims are refused, upstreams leave,
/// restart or report work of another home, callers close their connections. Throws when a request
/// is answered wrongly or more than once, when an upstream gets more work than it has slots, or
/// when work or slots leak.
class random_run
{
public:
    explicit random_run(std::uint64_t seed)
        : random_(seed), core_(test_settings(seed), upstream_chart())
    {
        core_.on_state(now(), test_state(1, 6 + seed % 10));
        core_.on_control_lease(now(), true);
        core_.start_serving();
        view_push view;
        view.whole = true;
        view.changed = {neighbour(seed % 2 == 0 ? 8 : 0)};
        core_.on_view(view);
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
            step();
        finish();
    }

private:
    struct sent_attempt
    {
        request_id id;
        std::string upstream;
        bool cancelled = false;
    };
    struct request_record
    {
        bool keyed = false;
        bool first_try = false;
        bool abandoned = false;
        bool may_have_run = false;
        bool held_by_other = false;
        unsigned answers = 0;
    };

    instant now() const { return at_ms(now_ms_); }
    wall_instant wall() const { return wall_instant(milliseconds(1'000'000 + now_ms_)); }

    void step()
    {
        now_ms_ += static_cast<std::int64_t>(random_() % 8);
        switch (random_() % 12)
        {
        case 0:
        case 1:
        case 2:
            request();
            break;
        case 3:
            announce();
            break;
        case 4:
        case 5:
        case 6:
            end_attempt();
            break;
        case 7:
            end_claim();
            break;
        case 8:
            end_forward();
            break;
        case 9:
            abandon();
            break;
        case 10:
            reconfigure();
            break;
        default:
            core_.tick(now());
            break;
        }
        process_actions();
    }

    void request()
    {
        char const* const kinds[] = {"confirm", "check", "browse"};
        caller_request out;
        std::size_t const kind = random_() % 3;
        out.id = request_id(next_id_++);
        out.service = service_name("roster");
        out.kind = work_kind_name(kinds[kind]);
        out.caller = caller_name("caller" + std::to_string(random_() % 5));
        out.deadline = now() + milliseconds(1 + random_() % 600);
        out.forwarded = random_() % 5 == 0;
        request_record& item = records_[out.id.value()];
        if (kind == 0)
        {
            item.keyed = true;
            item.first_try = random_() % 2 == 0;
            out.first_try = item.first_try;
            out.key =
                idempotency_key(ticket_text(1'000'000 + now_ms_) + std::to_string(out.id.value()));
        }
        core_.on_request(now(), wall(), out);
    }

    void announce()
    {
        std::size_t const which = random_() % 4;
        upstream_announcement message = announcement("u" + std::to_string(which));
        message.life = incarnation(incarnations_[which]);
        message.leaving = random_() % 40 == 0;
        if (announced_leaving_[which])
        {
            message.life = incarnation(++incarnations_[which]);
            announced_leaving_[which] = false;
        }
        message.previous_lease_left = milliseconds(random_() % 20 == 0 ? 300 : 0);
        message.in_flight_elsewhere = slot_count(random_() % 10 == 0 ? 2 : 0);
        message.acceptance = quoted_acceptances_[which];
        quoted_acceptances_[which] = core_.on_announce(now(), message, true).acceptance;
        announced_leaving_[which] = message.leaving;
    }

    void end_attempt()
    {
        if (attempts_.empty())
            return;
        auto at = attempts_.begin();
        std::advance(at, static_cast<std::ptrdiff_t>(random_() % attempts_.size()));
        attempt_result result;
        result.status = 200;
        switch (at->second.cancelled ? 3 : random_() % 8)
        {
        case 0:
            result.ending = attempt_ending::unsent;
            break;
        case 1:
            result.ending = attempt_ending::refused_unstarted;
            break;
        case 2:
        case 3:
            result.ending = attempt_ending::lost;
            break;
        default:
            result.ending = attempt_ending::answered;
            break;
        }
        request_record& item = records_[at->second.id.value()];
        if (result.ending == attempt_ending::lost || result.ending == attempt_ending::answered)
        {
            if (item.keyed && item.may_have_run)
                throw std::logic_error("non-idempotent work was sent again after it may have run");
            item.may_have_run = true;
        }
        attempt_id const attempt = at->first;
        attempts_.erase(at);
        core_.on_attempt(now(), attempt, result);
    }

    void end_claim()
    {
        if (claims_.empty())
            return;
        request_id const id = claims_.back();
        claims_.pop_back();
        switch (random_() % 6)
        {
        case 0:
            records_[id.value()].held_by_other = true;
            return core_.on_claim(now(), id, claim_verdict::unknown, {});
        case 1:
            records_[id.value()].held_by_other = !records_[id.value()].first_try;
            return core_.on_claim(now(), id, claim_verdict::unreachable, {});
        case 2:
            records_[id.value()].held_by_other = true;
            return core_.on_claim(now(), id, claim_verdict::settled, {200, "kept", true});
        default:
            return core_.on_claim(now(), id, claim_verdict::granted, {});
        }
    }

    void end_forward()
    {
        if (forwards_.empty())
            return;
        request_id const id = forwards_.back();
        forwards_.pop_back();
        forward_reply reply;
        reply.id = id;
        reply.outcome = static_cast<outcome_kind>(random_() % 3);
        reply.status = 200;
        records_[id.value()].may_have_run |= reply.outcome != outcome_kind::not_run;
        core_.on_forward(now(), reply, random_() % 4 != 0);
    }

    void abandon()
    {
        request_id const id(1 + random_() % next_id_);
        auto const at = records_.find(id.value());
        if (at == records_.end() || at->second.answers > 0)
            return;
        at->second.abandoned = true;
        core_.on_abandoned(now(), id);
    }

    void reconfigure()
    {
        if (random_() % 10 == 0)
            core_.on_state(now(), test_state(++version_, 100));
    }

    void process_actions()
    {
        for (auto& action : core_.take_actions())
        {
            if (auto const* order = std::get_if<send_upstream>(&action))
            {
                attempts_[order->attempt] = {order->id, order->upstream.value() +
                                                            " of incarnation " +
                                                            std::to_string(incarnation_of(*order))};
                check_slots();
            }
            else if (auto const* cancel = std::get_if<cancel_upstream>(&action))
                attempts_.at(cancel->attempt).cancelled = true;
            else if (auto const* claim = std::get_if<start_claim>(&action))
                claims_.push_back(claim->id);
            else if (auto const* forward = std::get_if<send_forward>(&action))
                forwards_.push_back(forward->id);
            else if (auto const* gone = std::get_if<cancel_forward>(&action))
                std::erase(forwards_, gone->id);
            else if (auto const* reply = std::get_if<give_answer>(&action))
                check_answer(*reply);
        }
    }

    /// A restarted upstream has none of the work of its earlier incarnation.
    std::uint64_t incarnation_of(send_upstream const& order) const
    {
        return incarnations_[order.upstream.value().back() - '0'];
    }

    void check_slots()
    {
        std::map<std::string, unsigned> used;
        for (auto const& [attempt, item] : attempts_)
            if (++used[item.upstream] > 4)
                throw std::logic_error("upstream " + item.upstream + " with 4 slots was sent " +
                                       std::to_string(used[item.upstream]) + " pieces of work");
    }

    void check_answer(give_answer const& reply)
    {
        request_record& item = records_.at(reply.id.value());
        if (++item.answers > 1)
            throw std::logic_error("request " + std::to_string(reply.id.value()) +
                                   " was answered twice");
        if (reply.outcome != outcome_kind::not_run)
            return;
        if (item.may_have_run)
            throw std::logic_error("work that may have run was answered as not run");
        if (item.keyed && item.held_by_other)
            throw std::logic_error(
                "a key that another attempt may have run was answered as not run");
    }

    void finish()
    {
        for (int i = 0; i < 4000 && core_.unfinished() > 0; ++i)
        {
            now_ms_ += 20;
            core_.tick(now());
            process_actions();
            end_attempt();
            process_actions();
            end_claim();
            process_actions();
            end_forward();
            process_actions();
        }
        if (core_.unfinished() > 0)
            throw std::logic_error(std::to_string(core_.unfinished()) +
                                   " requests, attempts or slots were never finished");
        if (core_.region_share().used().value() != 0)
            throw std::logic_error("slots of the region's share were not released: " +
                                   std::to_string(core_.region_share().used().value()));
        for (auto const& [id, item] : records_)
            if (item.answers == 0 && !item.abandoned)
                throw std::logic_error("request " + std::to_string(id) + " was never answered");
    }

    std::mt19937_64 random_;
    entry_core core_;
    std::int64_t now_ms_ = 0;
    std::uint64_t next_id_ = 1;
    std::uint64_t version_ = 1;
    std::uint64_t incarnations_[4] = {1, 1, 1, 1};
    bool announced_leaving_[4] = {};
    std::uint64_t quoted_acceptances_[4] = {};
    std::map<std::uint64_t, request_record> records_;
    std::map<attempt_id, sent_attempt> attempts_;
    std::vector<request_id> claims_;
    std::vector<request_id> forwards_;
};

caller_request check_request(std::uint64_t id, std::int64_t deadline_ms)
{
    caller_request out;
    out.id = request_id(id);
    out.service = service_name("roster");
    out.kind = work_kind_name("check");
    out.deadline = at_ms(deadline_ms);
    return out;
}

/// Announces an upstream twice, as a real one does: the second announcement quotes the acceptance
/// of the first, which starts the lease.
announce_answer announce(entry_core& core, std::int64_t ms, upstream_announcement message)
{
    message.acceptance = core.on_announce(at_ms(ms), message, false).acceptance;
    return core.on_announce(at_ms(ms), message, false);
}

template <class Action>
std::vector<Action> actions_of(entry_core& core)
{
    std::vector<Action> out;
    for (auto& action : core.take_actions())
        if (auto* item = std::get_if<Action>(&action))
            out.push_back(std::move(*item));
    return out;
}

} // namespace

// Guards against work that is sent after the upstream's lease has ended (the upstream may have
// another home by then), work sent to a leaving upstream, non-idempotent work sent before its claim
// is granted, and requests that stay unanswered when an upstream does not answer.
SCENARIO("an entry host sends a request to an upstream, forwards it or answers it")
{
    entry_core core(test_settings(1), upstream_chart());
    core.on_state(at_ms(0), test_state());
    core.start_serving();
    wall_instant const wall{milliseconds(1'000'000)};

    GIVEN("an upstream with a lease")
    {
        REQUIRE(announce(core, 0, announcement("u0")).accepted);
        WHEN("an idempotent request arrives")
        {
            core.on_request(at_ms(1), wall, check_request(7, 1000));
            auto const sent = actions_of<send_upstream>(core);
            REQUIRE(sent.size() == 1);
            CHECK(sent[0].upstream == upstream_name("u0"));
            THEN("it is sent within 250 ms or not at all, and never after the upstream's lease")
            {
                CHECK(sent[0].send_by <= at_ms(251));
                core.tick(at_ms(1900));
                core.on_request(at_ms(1900), wall, check_request(9, 9000));
                core.on_attempt(at_ms(1901), sent[0].attempt,
                                {attempt_ending::answered, 200, "ok", {}});
                auto const late = actions_of<send_upstream>(core);
                REQUIRE(late.size() == 1);
                CHECK(late[0].send_by == at_ms(2000));
            }
            AND_WHEN("the upstream answers")
            {
                core.on_attempt(at_ms(40), sent[0].attempt,
                                {attempt_ending::answered, 200, "ok", {}});
                auto const replies = actions_of<give_answer>(core);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].outcome == outcome_kind::answer);
                CHECK(replies[0].body == "ok");
                CHECK(core.unfinished() == 0);
            }
            AND_WHEN("the upstream does not answer")
            {
                // A second upstream for the retry.
                announce(core, 2, announcement("u1"));
                announce(core, 900, announcement("u1"));
                core.tick(at_ms(900));
                THEN("the attempt is cancelled and retried within the deadline")
                {
                    CHECK(core.counters().silent_attempts == 1);
                    CHECK(actions_of<cancel_upstream>(core).size() == 1);
                }
            }
            AND_WHEN("the deadline passes while the request is running")
            {
                core.tick(at_ms(1001));
                auto const replies = actions_of<give_answer>(core);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].outcome == outcome_kind::unknown);
            }
        }
        WHEN("the upstream announces that it is leaving")
        {
            upstream_announcement message = announcement("u0");
            message.leaving = true;
            announce(core, 10, message);
            core.on_request(at_ms(11), wall, check_request(8, 1000));
            THEN("it gets no new work")
            {
                CHECK(actions_of<send_upstream>(core).empty());
            }
        }
        WHEN("the configuration lists the upstream as leaving")
        {
            fleet_state next = test_state(2);
            next.config.leaving_upstreams = {upstream_name("u0")};
            core.on_state(at_ms(10), next);
            announce(core, 20, announcement("u0"));
            core.on_request(at_ms(21), wall, check_request(8, 1000));
            CHECK(actions_of<send_upstream>(core).empty());
        }
        WHEN("a renewal is delayed in transit for longer than the lease")
        {
            upstream_announcement message = announcement("u0");
            message.acceptance = core.on_announce(at_ms(1), message, false).acceptance;
            core.on_announce(at_ms(4000), message, false);
            core.on_request(at_ms(4001), wall, check_request(8, 9000));
            THEN("it does not renew the lease: the upstream may have another home by now")
            {
                CHECK(actions_of<send_upstream>(core).empty());
            }
        }
        WHEN("the upstream does not renew its lease")
        {
            core.tick(at_ms(2500));
            core.on_request(at_ms(2501), wall, check_request(8, 4000));
            CHECK(actions_of<send_upstream>(core).empty());
        }
        WHEN("a non-idempotent request arrives")
        {
            caller_request confirm = check_request(9, 1000);
            confirm.kind = work_kind_name("confirm");
            confirm.key = idempotency_key(ticket_text(1'000'000) + "9");
            core.take_actions();
            core.on_request(at_ms(1), wall, confirm);
            auto actions = core.take_actions();
            REQUIRE(actions.size() == 1);
            THEN("it is sent only after its claim is granted")
            {
                REQUIRE(std::holds_alternative<start_claim>(actions[0]));
                core.on_claim(at_ms(6), request_id(9), claim_verdict::granted, {});
                CHECK(actions_of<send_upstream>(core).size() == 1);
            }
            THEN("an outcome that is already recorded is answered without a new attempt")
            {
                core.on_claim(at_ms(6), request_id(9), claim_verdict::settled, {201, "crew", true});
                auto const replies = actions_of<give_answer>(core);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].status == 201);
                CHECK(replies[0].body == "crew");
            }
        }
    }
    GIVEN("no upstream and a neighbour with free slots")
    {
        view_push view;
        view.changed = {neighbour(8)};
        core.on_view(view);
        core.on_request(at_ms(1), wall, check_request(7, 1000));
        auto const forwards = actions_of<send_forward>(core);
        REQUIRE(forwards.size() == 1);
        CHECK(forwards[0].host == host_name("e1"));
    }
    GIVEN("a region cap of three slots")
    {
        core.on_state(at_ms(0), test_state(2, 3));
        announce(core, 0, announcement("u0"));
        announce(core, 0, announcement("u1"));
        for (std::uint64_t id = 1; id <= 8; ++id)
            core.on_request(at_ms(1), wall, check_request(id, 1000));
        // Upstreams in warm-up take one piece of work each at first; the cap must hold regardless.
        CHECK(core.region_share().used() <= slot_count(3));
    }
}

// Guards against an overrun of the region's slot cap: control reassigns the seat of a host that it
// has not heard from for long enough, so a disconnected host must stop using its share before that.
SCENARIO("an entry host without a lease from control gives up its share in time")
{
    entry_core core(test_settings(1), upstream_chart());
    core.on_state(at_ms(0), test_state());
    core.on_control_lease(at_ms(0), true);
    constexpr std::int64_t hour_ms = 3'600'000;
    slot_count const share = core.region_share().limit(at_ms(0));
    REQUIRE(share.value() > 0);
    core.on_control_lease(at_ms(hour_ms), false);
    THEN("it still uses its share after one hour")
    {
        CHECK(core.region_share().limit(at_ms(hour_ms)) == share);
    }
    THEN("it uses no share after two hours and its full share again once the lease is renewed")
    {
        core.on_control_lease(at_ms(2 * hour_ms), false);
        CHECK(core.region_share().limit(at_ms(2 * hour_ms)) == slot_count(0));
        core.on_control_lease(at_ms(3 * hour_ms), true);
        CHECK(core.region_share().limit(at_ms(3 * hour_ms)) == share);
    }
}

// Guards against faults that only certain orders of events cause: a request answered twice, never
// or falsely as "not run", non-idempotent work sent a second time, and slots overrun or leaked
// after cancellations, retries, restarts of upstreams and changes of configuration.
SCENARIO("random sequences of events at an entry host")
{
    rc::prop("each request gets exactly one true answer and no slot is overrun or leaked",
             [](std::uint64_t seed) { random_run(seed).run(1500); });
}
