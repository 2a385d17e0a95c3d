#!/bin/sh
# Builds the stand-ins and the cases of the review. Needs a JDK 17 and no library.
set -e
cd "$(dirname "$0")"
mkdir -p build
javac -Xlint:all -d build src/*.java
