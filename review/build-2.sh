#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build-review-2/ of the repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++17 -O2 -Wall -Wextra -o "build-review-2/case-$number" "$source"
done
