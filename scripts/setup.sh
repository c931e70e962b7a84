#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo require. Does nothing if all of
# them are installed.
set -euo pipefail

packages=(
    cmake ninja-build g++ ccache clang-format clang-tidy-16 curl python3 gnuplot-nox
    libabsl-dev libthrift-dev libevent-dev libxxhash-dev
    libboost-dev libboost-program-options-dev libinih-dev
    libmicrohttpd-dev libcurl4-openssl-dev libspdlog-dev
    nlohmann-json3-dev catch2 libtrompeloeil-cpp-dev librapidcheck-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi

sudo_command=()
if [ "$(id -u)" -ne 0 ]; then
    sudo_command=(sudo)
fi
"${sudo_command[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${sudo_command[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
