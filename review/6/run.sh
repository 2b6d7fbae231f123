#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec target/review-6 review/6
