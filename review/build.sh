#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of deploy/balancer.toml, into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for case in review/[0-9]*; do
  g++ -std=c++17 -O1 -Wall -Wextra -Iinclude -Isrc "$case/play.cpp" -o "build/review/play-$(basename "$case")" \
    build/libpathstack_app.a build/libpathstack_parts.a build/libpathstack_config.a build/libpathstack_net.a \
    build/libpathstack_core.a build/libpathstack_policy.a
done
