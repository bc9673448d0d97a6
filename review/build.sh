#!/bin/bash
# Builds the stand-ins of the scripted cases. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-cases ./review
