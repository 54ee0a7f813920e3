#!/bin/sh
# Builds the stand-ins of the review's scripts. They need no other module.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/standin .
