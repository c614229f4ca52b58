#!/bin/sh
# The stand-ins are plain JavaScript without libraries, so that there is nothing to compile; this checks that all files can be parsed.
set -e
cd "$(dirname "$0")"
for file in [1-5]/*.mjs [1-5]/lib/*.mjs; do
	node --check "$file"
done
