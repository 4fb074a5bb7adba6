#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the project's own gateway,
# which the build line of deploy/system.toml builds. It needs no network.
set -eu
cd "$(dirname "$0")/lab-3"
go build -o ../../target/review-lab-3 .
