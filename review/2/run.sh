#!/bin/sh
# Exit status: 1 the rule is broken, 0 it held, 2 the case could not run. TROUBLE=0: the route does not move.
cd "$(dirname "$0")" || exit 2
here=$(pwd)
[ -f ../../platform/target/java-options ] || { echo "run platform/build.sh first" >&2; exit 2; }
sh ../build.sh || exit 2
exec timeout -k 2 115 java -cp ../target MovedRoute "$(cd ../.. && pwd)" "$here"
