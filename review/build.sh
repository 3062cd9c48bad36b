#!/bin/sh
# Compiles the stand-ins into review/target.
set -eu
cd "$(dirname "$0")"
mkdir -p target
javac -d target standins/*.java
