#!/usr/bin/env bash
# Builds what the scripts of this review start beside the project's own programs. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-2/cases.cc -o target/review-2/cases
