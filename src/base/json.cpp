// Compiles Boost.JSON, which the project uses as a header-only library, in this one source file.
#include <boost/json/src.hpp>
