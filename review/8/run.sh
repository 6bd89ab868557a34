#!/usr/bin/env bash
# Exits with 1 if CONFIG was broken, with 0 if it held, with 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
binary=$PWD/target/guavashed-platform
driver=$PWD/target/review-2/entries-stranded
[[ -x $binary && -x $driver ]] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
# The driver ends its processes when it ends, also after a signal.
trap 'kill -TERM "$pid" 2>/dev/null; wait "$pid"; exit 2' TERM INT
"$driver" "$binary" "$work" "$PWD/review/8/record.txt" &
pid=$!
wait "$pid"
