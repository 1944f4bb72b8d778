#!/bin/sh
# Runs the case in a folder of review/: run_case.sh FOLDER. The exit code is 1
# if the rule was broken, 0 if it held and 2 if the case couldn't run.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
program=$root/target/baobabwalld
[ -x "$program" ] && [ -x "$folder/case" ] || exit 2
temporary=$(mktemp -d) || exit 2
timeout -k 2 115 "$folder/case" "$folder" "$temporary" "$program"
code=$?
rm -rf "$temporary"
[ "$code" -le 1 ] || exit 2
exit "$code"
