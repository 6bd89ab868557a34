#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$root/target/review/case-$(basename "$here")"
[ -x "$program" ] && [ -x "$root/target/guavashed-platform" ] || exit 2
work="$(mktemp -d)" || exit 2
"$program" "$root/target/guavashed-platform" "$work" "$here/record.txt" &
child=$!
trap 'kill "$child"' TERM INT HUP
wait "$child"
code=$?
trap - TERM INT HUP
rm -rf "$work"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
