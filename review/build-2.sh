#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases (6 to 10) with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
rm -rf target
mkdir -p target/classes
javac -Werror -Xlint:all -d target/classes src/*.java
