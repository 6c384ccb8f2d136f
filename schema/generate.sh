#!/bin/sh
# Writes generated/ from the schemas. Needs the capnp compiler; the build does not.
set -eu
cd "$(dirname "$0")/.."
for it in annotations settings ticket peer record fleet; do
    capnp compile -I/usr/include --src-prefix=schema -oc++:generated "schema/$it.capnp"
done
