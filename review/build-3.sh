#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Run it at the root of the repository,
# after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/cases ./review/standin-3
