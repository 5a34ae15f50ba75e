#!/bin/bash
# Builds the stand-ins of the cases into target/review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cc; do
    g++ -std=c++20 -O1 -g -pthread -o "target/review/$(basename "$source" .cc)" "$source"
done
