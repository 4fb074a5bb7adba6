#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Run it after the build line of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2/ ./review/standin-2 ./review/standin-3
