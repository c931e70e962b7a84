#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <cstdlib>

int main(int argc, char **argv)
{
    // Fixed seed for reproducible fault plans; RC_PARAMS of the environment takes precedence.
    setenv("RC_PARAMS", "seed=20261203 max_success=100", 0);
    return Catch::Session().run(argc, argv);
}
