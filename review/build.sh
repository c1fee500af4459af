#!/usr/bin/env bash
# Builds the program of the cases from this folder and the module cache, without a network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p ../.bin
GOWORK=off GOFLAGS=-mod=readonly GOPROXY=off go build -o ../.bin/reviewlab ./lab
