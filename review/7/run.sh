#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -uo pipefail
# The case and all that it starts are one process group, which ends with this script.
set -m
scratch=$(mktemp -d) || exit 2
group=
end_all() {
    if [ -n "$group" ]; then
        kill -KILL -- "-$group" 2>/dev/null
    fi
    rm -rf "$scratch"
}
trap end_all EXIT
trap 'exit 2' HUP INT TERM
TMPDIR=$scratch timeout --kill-after=2 115 python3 "$(dirname "$0")/case.py" &
group=$!
wait "$group"
# An error of the interpreter is 1, so the case says 10 for a broken rule.
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
