/// \file
/// Lesson 3: how does a confirmation run at most once, even when its caller resends it?
///
/// A caller gives such a request an idempotency key. Before an entry host sends the request to an
/// upstream, it claims the key at the recorders. Three recorders vote here. Only the attempt that a
/// majority of them grants may run, and two attempts can't both have a majority.
///
/// Run it:
///     build/tutorial/lesson_03_at_most_once
#include "control/claim_book.hpp"
#include "entry/claim_round.hpp"

#include <array>
#include <iostream>

using namespace guavashed;

namespace
{

/// Sends the request to the recorders one by one until their votes decide it. In a deployment, the
/// entry host sends it over the network.
claim_verdict collect_votes(std::array<claim_book, 3>& books, wall_instant now,
                            claim_request const& request, claim_round& round)
{
    std::optional<claim_verdict> verdict;
    for (std::size_t i = 0; i < books.size(); ++i)
        if (!verdict)
            verdict =
                round.vote(host_name("recorder" + std::to_string(i)), books[i].apply(now, request));
    return verdict.value_or(round.close());
}

} // namespace

int main()
{
    // Each recorder keeps its claims in a claim book. A recorder whose disk was first used after a
    // key was issued abstains, because an earlier disk may have held a claim on the key. Here, the
    // disks have been in use for five minutes when the key is issued.
    wall_instant const disks_first_used{std::chrono::hours(1)};
    wall_instant const now = disks_first_used + std::chrono::minutes(5);
    std::array<claim_book, 3> books{claim_book(disks_first_used), claim_book(disks_first_used),
                                    claim_book(disks_first_used)};
    claim_request claim;
    claim.key = idempotency_key("crew-7-block-12");
    claim.issued_ms = wall_ms(now);
    claim.expires_ms = wall_ms(now + std::chrono::minutes(10));

    // The first attempt is granted: only this attempt may send the work to an upstream.
    claim.attempt = attempt_id(1);
    claim_round first(books.size());
    bool const granted = collect_votes(books, now, claim, first) == claim_verdict::granted;
    std::cout << "first attempt granted: " << granted << "\n";

    // The caller loses its connection and resends through another entry host. The first attempt
    // holds the key, and may or may not have run: the verdict is `unknown`, and the resend doesn't
    // run.
    claim_request resend = claim;
    resend.attempt = attempt_id(2);
    claim_round second(books.size());
    bool const unknown = collect_votes(books, now, resend, second) == claim_verdict::unknown;
    std::cout << "resend while it runs is unknown: " << unknown << "\n";

    // The first attempt has run, and its entry host settles the key with the answer. From now on,
    // each resend gets this answer without running again.
    claim.step = claim_step::settle;
    claim.answer = {200, "crew confirmed", true};
    for (auto& book : books)
        book.apply(now, claim);
    claim_round third(books.size());
    bool const settled = collect_votes(books, now, resend, third) == claim_verdict::settled;
    std::cout << "resend afterwards: " << third.answer().body << "\n";
    return granted && unknown && settled ? 0 : 1;
}
