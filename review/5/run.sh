#!/bin/bash
# Exits with 1 if acknowledged configuration was lost, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node target/5/main.js review/5/record.txt
