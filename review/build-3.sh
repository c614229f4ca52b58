#!/bin/sh
# Builds what the cases from 11 on start besides the daemons. Their stand-ins are plain JavaScript without libraries, in lib/ and beside
# the scripts, so that only their syntax is checked. The daemons are built by the build line of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
for file in 1[1-5]/*.mjs 1[1-5]/lib/*.mjs; do
	[ -e "$file" ] || continue
	node --check "$file" || exit 1
done
[ -e ../target/eelgrasswheeld.cjs ] || echo "build the daemons first: see deploy/system.toml" >&2
