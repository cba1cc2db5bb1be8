#!/usr/bin/env bash
# Builds the program that plays the scripts of this folder, with all stand-ins in it, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/review/ ./review/drive
