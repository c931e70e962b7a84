#include "core/error.h"
#include "programs/command_line_tool.h"

#include <iostream>

int main(int argc, char **argv)
{
    using namespace marjoramferry;
    try {
        return runCommand(parseToolOptions(argc, argv), std::cout, std::cerr);
    } catch (const UsageError &error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(ExitCode::Usage);
    } catch (const Error &error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(ExitCode::Usage);
    }
}
