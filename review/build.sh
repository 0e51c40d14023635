#!/bin/sh
# Builds the load balancer by the command of the deploy file, and the stand-ins of the review's scripts.
set -e
cd "$(dirname "$0")/.."
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
go build -o target/review-harness ./review/_harness
