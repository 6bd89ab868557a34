#!/usr/bin/env bash
# Builds the drivers and stand-ins of the scripts in review/6 to review/10 into target/review-2. Run it
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2 -j6
