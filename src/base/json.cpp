// Compiles Boost.JSON once, since the project uses it as a header-only library.
#include <boost/json/src.hpp>
