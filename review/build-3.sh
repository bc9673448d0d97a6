#!/bin/bash
# Builds the stand-ins of the third review's scripts into bin/, which git ignores. It needs no
# network once deploy/system.toml has been built: it uses the project's own modules only.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
mkdir -p bin && exec go build -o bin/review-3 review/third_*.go
