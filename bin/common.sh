# Shared by the commands in this folder: builds when sources are newer than the last build.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
stamp="$root/lab/target/build.stamp"
needs_build() {
  [ ! -f "$stamp" ] && return 0
  [ -n "$(find "$root/pom.xml" "$root"/*/pom.xml "$root"/*/src/main -newer "$stamp" -print -quit)" ]
}
build_if_needed() {
  if needs_build; then
    (cd "$root" && mvn -q -B -DskipTests package) >&2 || exit 1
    touch "$stamp"
  fi
}
class_path() {
  printf '%s' "$root/server/target/classes:$root/lab/target/classes:$root/lab/target/lib/*"
}
