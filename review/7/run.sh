#!/usr/bin/env bash
# Plays case 7, as claim.txt tells it; TROUBLE=0 leaves the disruption out.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
stand_ins=target/review-2/stand-ins
if [ ! -x "$stand_ins" ] || [ ! -x target/release/stilelead ]; then
    echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
BALANCER_RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
CASE_TMP=$(mktemp -d) || exit 2
export BALANCER_RUN CASE_TMP
child=
# Ends what is still running, whatever ended this script.
end() {
    [ -n "$child" ] && kill -9 "$child" 2>/dev/null
    [ -f "$CASE_TMP/running" ] && xargs kill -9 <"$CASE_TMP/running" 2>/dev/null
    rm -rf "$CASE_TMP"
}
trap end EXIT
trap 'exit 2' INT TERM
"$stand_ins" 7 "$here/record.txt" &
child=$!
wait "$child"
status=$?
child=
# Whatever else ended the stand-ins, the case did not run.
[ "$status" -le 1 ] || status=2
exit "$status"
