#pragma once

#include <iosfwd>
#include <stdexcept>
#include <string>
#include <vector>

namespace marjoramferry {

/** Exit codes of the tool. They are part of its interface for scripts. */
enum class ExitCode : int {
    Done = 0,
    Failed = 1, ///< The job failed and at least one task ran or may have run, or the request was rejected.
    Usage = 2, ///< The command line or an input file is invalid; no request was sent.
    NotRun = 3, ///< The job failed and none of its tasks ran.
    Unreachable = 4, ///< No response was received; the request may have been processed.
};

/** An invalid command line. */
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct ToolOptions
{
    std::string entry; ///< host:port of an entry's HTTP server.
    bool asJson = false;
    int timeoutMs = 0;
    bool wantsHelp = false;
    std::vector<std::string> command; ///< The command and its arguments.
};

/** Throws UsageError for an unknown option or an invalid value. */
ToolOptions parseToolOptions(int argc, char **argv);

/** Runs a command and returns its exit code. Throws UsageError for an unknown command, Error for an invalid file. */
int runCommand(const ToolOptions &options, std::ostream &out, std::ostream &errors);

} // namespace marjoramferry
