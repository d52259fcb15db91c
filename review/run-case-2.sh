#!/usr/bin/env bash
# Runs one case: run-case-2.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."
classes=review/standins-2/target/classes
if [ ! -f target/load-balancer.jar ] || [ ! -f "$classes/$2.class" ]; then
  echo "build with deploy/balancer.toml and review/build-2.sh first" >&2
  exit 2
fi
exec java -Xmx512m -cp "$classes" "$2" "review/$1/record.txt"
