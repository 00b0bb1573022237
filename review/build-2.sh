#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build-review-2/ of the repository, after the build of the deploy file.
# Case 9 uses parts of the program and the stand-ins of the first review (a broker, hosts) for its messages.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for number in 6 7 8; do
  ${CXX:-g++} -std=c++17 -O2 -Wall -Wextra -o "build-review-2/case-$number" "review/$number/play.cpp"
done
${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -Iinclude -Isrc -o build-review-2/case-9 review/9/play.cpp \
  build/libpathstack_app.a build/libpathstack_parts.a build/libpathstack_config.a build/libpathstack_net.a \
  build/libpathstack_core.a build/libpathstack_policy.a
