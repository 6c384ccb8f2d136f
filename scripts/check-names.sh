#!/usr/bin/env bash
# Fails if two headers define types with the same name in the project's namespace. All modules are linked into one
# program, and the linker does not report such a violation of the one-definition rule.
set -euo pipefail
cd "$(dirname "$0")/.."
twice=$(git ls-files -co --exclude-standard 'modules/*.h' 'platform/*.h' 'program/*.h' |
    while read -r file; do [ -f "$file" ] && sed -nE "s#^(class|struct|enum class) ([a-z_0-9]+)( final)?( :.*| \{.*)\$#\2 $file#p" "$file"; done |
    sort | awk '$1 == name { print $1 ": " file ", " $2 } { name = $1; file = $2 }')
[ -z "$twice" ] && exit 0
echo "types defined twice:"
echo "$twice"
exit 1
