#!/usr/bin/env bash
# Compiles the stand-ins and the cases into target/review; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standins/*.java review/[0-9]*/*.java
