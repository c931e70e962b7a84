#!/usr/bin/env bash
# Regenerates the committed Thrift types. Requires Debian's thrift-compiler, which the build itself does not need.
set -euo pipefail
cd "$(dirname "$0")/.."
thrift --gen cpp:no_skeleton,moveable_types -out wire/generated wire/messages.thrift
