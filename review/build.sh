#!/bin/sh
# Builds what the cases' scripts start, besides the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-standin ./review/standin
