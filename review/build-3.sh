#!/usr/bin/env bash
# Builds the cases of this review and their stand-ins into target/review-3. The project itself is built by the command
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread "$source" -o "target/review-3/case-$number"
done
