#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and
# review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/standin-2 ] && [ -x target/samphire-platform-store ] && [ -x target/samphire-platform-entry ] || exit 2
exec target/standin-2 -case revoke-kill -bin target -record review/7/record.txt
