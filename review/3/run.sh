#!/bin/sh
# Exit status: 1 the rule is broken, 0 it held, 2 the case could not run. TROUBLE=0: no SIGTERM.
cd "$(dirname "$0")" || exit 2
here=$(pwd)
record="$here/record.txt"
echo "case 3, TROUBLE=${TROUBLE:-1}" > "$record"
if [ ! -f ../../platform/target/java-options ]; then
  echo "could not run: platform/build.sh has not been run" | tee -a "$record" >&2
  exit 2
fi
sh ../build.sh || { echo "could not run: the stand-ins don't compile" >> "$record"; exit 2; }
exec timeout -k 2 115 java -cp ../target StopInTransaction "$(cd ../.. && pwd)" "$record"
