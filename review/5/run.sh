#!/usr/bin/env bash
# Plays the case from the root of the repository, after the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.."
exec target/review/standin missed-removal review/5
