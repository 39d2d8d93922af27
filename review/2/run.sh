#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out; KEEP_LOGS=1 keeps the logs of the processes.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$dir/../.." || exit 2
if [ ! -x target/catkinline ] || [ ! -x target/review-standin ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
exec target/review-standin frozen-gateway "$dir"
