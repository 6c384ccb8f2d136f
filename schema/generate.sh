#!/bin/sh
# Generates the sources in generated/ from the schemas. Requires the capnp compiler, which the build does not need.
set -eu
cd "$(dirname "$0")/.."
for it in annotations settings ticket suspect peer record fleet; do
    capnp compile -I/usr/include --src-prefix=schema -oc++:generated "schema/$it.capnp"
done
