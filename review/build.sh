#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review/standin .
