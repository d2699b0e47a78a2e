#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, as target/review/stand-ins. Needs rustc only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand-ins review/stand-ins/main.rs
