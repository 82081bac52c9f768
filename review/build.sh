#!/bin/sh
# Builds the stand-ins that the scripts of the review start.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off go build -trimpath -o ../bin/standin .
