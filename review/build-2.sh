#!/bin/bash
# Builds the scripts of the cases 4 to 8, and the stand-ins of the project that they start.
set -e
cd "$(dirname "$0")/.."
npx tsc -b
for folder in review/[4-8]; do
    if [ -f "$folder/tsconfig.json" ]; then
        npx tsc -p "$folder"
    fi
done
