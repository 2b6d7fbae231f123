#!/usr/bin/env bash
# Builds what the cases of the second review start besides the controllers: each case's program holds
# its stand-ins for the state service, the cloud, the workers and the users.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
for folder in review/[4-6]; do
  go build -o "target/review-$(basename "$folder")" "./$folder"
done
