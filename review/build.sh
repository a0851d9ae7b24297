#!/usr/bin/env bash
# Builds the programs of the cases, with all stand-ins that they start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release > /dev/null
ninja -C target/review
