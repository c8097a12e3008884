#!/bin/bash
# Exits with 1 if the fleet did not recover, 0 if it did, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node target/4/main.js review/4/record.txt
