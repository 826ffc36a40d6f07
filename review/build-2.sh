#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start (review/4 and later).
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-bed2 ./review/bed2
