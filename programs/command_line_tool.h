#pragma once

#include <iosfwd>
#include <stdexcept>
#include <string>
#include <vector>

namespace marjoramferry {

/** Exit codes of the tool; scripts may rely on them. */
enum class ExitCode : int {
    Done = 0,
    Failed = 1, ///< The job failed and some of it ran or may have run, or the call was refused.
    Usage = 2, ///< The command line or a file given on it is wrong; nothing was sent.
    NotRun = 3, ///< The job failed and nothing of it ran.
    Unreachable = 4, ///< No answer; what happened is not known.
};

/** A wrong command line. */
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct ToolOptions
{
    std::string entry; ///< host:port of an entry's HTTP face.
    bool asJson = false;
    int timeoutMs = 0;
    bool wantsHelp = false;
    std::vector<std::string> words; ///< The command and its arguments.
};

/** Throws UsageError. */
ToolOptions parseToolOptions(int argc, char **argv);

/** Runs one command and returns its exit code. Throws UsageError or Error for wrong input. */
int runTool(const ToolOptions &options, std::ostream &out, std::ostream &problems);

} // namespace marjoramferry
