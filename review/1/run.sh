#!/usr/bin/env bash
# Plays the case: exit 1 where the rule was broken, 0 where it held, 2 where it could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
record=review/1/record.txt
echo "the case has not started" > "$record" || exit 2
[ -f target/crankfork.cjs ] || npm run --silent bundle >&2 || exit 2
[ -f target/review/1/case.js ] || bash review/build.sh >&2 || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# timeout leads a process group of its own, which all processes of the case belong to.
timeout --signal=TERM --kill-after=5 110 node target/review/1/case.js &
group=$!
trap 'kill -TERM "$group"' TERM INT HUP
wait "$group"
code=$?
# A signal to this script ends the wait early.
while kill -0 "$group" 2> /dev/null; do
    wait "$group"
    code=$?
done
# Ends what a case that was killed leaves behind.
kill -KILL -- "-$group" 2> /dev/null
rm -rf "$TMPDIR"
[ "$code" -le 2 ] || code=2
exit "$code"
