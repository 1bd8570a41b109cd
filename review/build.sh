#!/bin/sh
# Builds the stand-ins that the scripts start, with the JDK alone, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/harness/*.java
