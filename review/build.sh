#!/bin/sh
# Builds the cases with their stand-ins, after the build of deploy/service.toml. It needs no network:
# the packages are those of the program.
set -e
cd "$(dirname "$0")/.."
for dir in review/[0-9]*; do
  go build -o "target/$dir/case" "./$dir"
done
