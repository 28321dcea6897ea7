#!/usr/bin/env bash
# Builds the stand-ins of all cases: the store, the runners and the requesters, without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin.rs
