#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/build/. Needs nothing but the packages of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for case in */case.cpp; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -I standin "$case" standin/http.cpp \
        standin/platform.cpp -o "build/case-$(dirname "$case")"
done
