#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -G Ninja > /dev/null
ninja -C target/review-2
