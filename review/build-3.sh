#!/bin/sh
# Builds the stand-ins of the third review into target/review-3, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in foreign_heartbeat lost_seed cold_after_power; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-3/$name review/stand-3/$name.cpp
done
