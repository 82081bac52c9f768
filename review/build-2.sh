#!/usr/bin/env bash
# Builds the programs that the scripts of the cases 6 to 9 start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
for case in 6 7 8 9; do
	[ -f "$case/go.mod" ] || continue
	(cd "$case" && GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o "../../target/review-2/case-$case" .)
done
