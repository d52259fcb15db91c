#!/usr/bin/env bash
# run-case.sh FOLDER CLASS: runs one case against the program that the deploy file names.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$1
class=$2
jar=$(sed -nE 's/^run = .* -jar (\S+) .*/\1/p' "$root/deploy/balancer.toml")
if [ ! -f "$root/$jar" ]; then
  echo "not built: $jar is missing; run the build command of deploy/balancer.toml first"
  exit 2
fi
if [ ! -f "$root/target/review/$class.class" ]; then
  "$root/review/build.sh" || exit 2
fi
timeout -k 3 112 java -Xmx512m -Dreview.root="$root" -Dreview.record="$folder/record.txt" \
  -cp "$root/target/review" "$class"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
