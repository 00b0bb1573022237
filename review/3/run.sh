#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
play="$root/build/review/play-$(basename "$here")"
[ -x "$play" ] && [ -x "$root/build/pathstack-invoker" ] || { echo "not built: see review/build.sh"; exit 2; }
work="$(mktemp -d)" || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 5 110 "$play" "$root" "$here" "$work"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
