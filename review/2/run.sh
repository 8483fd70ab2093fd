#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out; all else is the same.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
python3 -B case.py &
trap 'kill $!' TERM INT
wait $!
case $? in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
