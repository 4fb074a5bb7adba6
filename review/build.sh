#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-harness ./review/harness
