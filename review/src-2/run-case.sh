#!/bin/sh
# run-case.sh FOLDER CLASS: runs one case and writes FOLDER/record.txt.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
case_dir=$(cd "$1" && pwd) || exit 2
root=$(cd "$case_dir/../.." && pwd) || exit 2
out="$root/review/src-2/out"
if [ ! -f "$out/$2.class" ] || [ ! -f "$root/target/damsonseam.jar" ]; then
    echo "build first: the deploy file's build, then review/build-2.sh" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
java -Xmx768m -Droot="$root" -Dwork="$work" -Drecord="$case_dir/record.txt" -cp "$out" "$2" &
pid=$!
# The stand-ins end the front nodes that they started when they end.
trap 'kill "$pid" 2>/dev/null; wait "$pid"; rm -rf "$work"; exit 2' INT TERM HUP
wait "$pid"
code=$?
rm -rf "$work"
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
