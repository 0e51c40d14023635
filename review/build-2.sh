#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=0 go build -o target/review-2 ./review/_rig
CGO_ENABLED=0 go build -o target/stage ./review/_stage
