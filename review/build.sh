#!/usr/bin/env bash
# Builds the program that plays the scripts' cases, with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig ./review/_rig
