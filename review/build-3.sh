#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs of the third review into target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
compiler=$(command -v clang++-16 || command -v clang++ || command -v g++)
for source in review/1[1-5]/main.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "$compiler" -std=c++20 -O1 -pthread "$source" review/standins-3/*.cpp -o "target/review-3/case$number"
done
