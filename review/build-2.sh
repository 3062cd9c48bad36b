#!/usr/bin/env sh
# Builds the stand-ins of the second review's cases (review/4 to review/8) with the JDK alone.
# The project's own programs come from the deploy file's build, platform/build.sh.
set -eu
cd "$(dirname "$0")"
out=standins-2/target/classes
rm -rf "$out"
mkdir -p "$out"
find standins-2 4 5 6 7 8 -name '*.java' 2>/dev/null | sort > standins-2/target/sources
javac -encoding UTF-8 -Xlint:all -d "$out" @standins-2/target/sources
