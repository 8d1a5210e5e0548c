#!/bin/bash
# Builds the stand-ins of the second review into target/. It needs no network and no dependency.
set -e
cd "$(dirname "$0")/stand-ins-2"
mkdir -p ../../target
go build -o ../../target/review-stand-ins-2 .
