#!/bin/bash
# run-case.sh CASE PROGRAM: starts a case's program with the daemon of the deploy file's build and a temporary folder.
# TROUBLE=0: the same without the disruption. KEEP_LOGS=FOLDER keeps what the processes write.
export TROUBLE=${TROUBLE:-1}
case_folder=$1
program=$2
cd "$(dirname "$0")/../.." || exit 2
daemon=$PWD/target/bin/poplardeald
[ -x "$daemon" ] && [ -x "target/review/$program" ] || { echo "build first"; exit 2; }
folder=$(mktemp -d) || exit 2
"target/review/$program" "$daemon" "$folder" "$case_folder/record.txt"
code=$?
if [ -n "$KEEP_LOGS" ]; then mkdir -p "$KEEP_LOGS"; cp "$folder"/*.log "$KEEP_LOGS"; fi
rm -rf "$folder"
tail -n 3 "$case_folder/record.txt"
exit $code
