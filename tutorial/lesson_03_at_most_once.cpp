/// \file
/// Lesson 3: how does a confirmation land once, though its caller resends it?
///
/// Three recorders vote on a key; a majority makes one attempt the only one.
///     build/tutorial/lesson_03_at_most_once
#include "control/claim_book.hpp"
#include "entry/claim_round.hpp"

#include <array>
#include <iostream>

using namespace guavashed;

namespace
{

claim_verdict ask_all(std::array<claim_book, 3>& books, wall_instant now,
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
    wall_instant const born{std::chrono::hours(1)};
    wall_instant const now = born + std::chrono::minutes(5);
    std::array<claim_book, 3> books{claim_book(born), claim_book(born), claim_book(born)};
    claim_request claim;
    claim.key = idempotency_key("crew-7-block-12");
    claim.issued_ms = wall_ms(now);
    claim.expires_ms = wall_ms(now + std::chrono::minutes(10));

    // The first attempt is granted: it alone may send the work.
    claim.attempt = attempt_id(1);
    claim_round first(books.size());
    bool const granted = ask_all(books, now, claim, first) == claim_verdict::granted;
    std::cout << "first attempt granted: " << granted << "\n";

    // Its caller lost the answer and resends through another entry host: nobody knows yet.
    claim_request resend = claim;
    resend.attempt = attempt_id(2);
    claim_round second(books.size());
    bool const unknown = ask_all(books, now, resend, second) == claim_verdict::unknown;
    std::cout << "resend while it runs is unknown: " << unknown << "\n";

    // The first attempt ran and settles the key; from then on a resend gets the same answer.
    claim.step = claim_step::settle;
    claim.answer = {200, "crew confirmed", true};
    for (auto& book : books)
        book.apply(now, claim);
    claim_round third(books.size());
    bool const settled = ask_all(books, now, resend, third) == claim_verdict::settled;
    std::cout << "resend afterwards: " << third.answer().body << "\n";
    return granted && unknown && settled ? 0 : 1;
}
