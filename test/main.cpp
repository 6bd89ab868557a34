// Defines main for all test programs. A violated invariant throws, so that the test fails with its
// message.
#define CATCH_CONFIG_RUNNER
#include "base/invariant.hpp"

#include <catch2/catch.hpp>
#include <stdexcept>

int main(int argc, char** argv)
{
    guavashed::install_invariant_handler([](std::string const& message)
                                         { throw std::logic_error(message); });
    return Catch::Session().run(argc, argv);
}
