// Reads the processor time and the memory of a process from /proc.
#include "process_cost.hpp"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace bench
{

double processor_seconds(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    // The 11 fields between the process name and utime aren't needed.
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        rest >> skipped;
    double user = 0;
    double system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double resident_mb(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

} // namespace bench
