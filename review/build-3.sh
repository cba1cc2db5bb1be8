#!/bin/sh
# Builds the stand-ins of the cases of the third review.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/ ./review/drive3
