#!/bin/sh
# Builds the stand-ins and tests of the cases 6 to 10 into review/src-2/out, with the JDK alone.
set -e
cd "$(dirname "$0")/src-2"
rm -rf out
mkdir out
javac -encoding UTF-8 -d out *.java
