#!/bin/sh
# Builds the program that plays the scripts of the second review, with all its stand-ins.
# The deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
exec go build -tags review2 -o target/review-2 ./review
