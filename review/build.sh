#!/usr/bin/env bash
# Compiles the stand-ins and cases below this folder to target/review. The project has to be installed (npm ci) before.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -p review
