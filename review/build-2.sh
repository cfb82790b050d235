#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 4 to 8 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in review/[4-8]/program.cpp; do
    [ -e "$program" ] || continue
    number=$(basename "$(dirname "$program")")
    g++ -std=c++17 -O1 -Wall -Wextra -o "target/review-2/case-$number" \
        "$program" review/standin2/standin.cpp -pthread
done
