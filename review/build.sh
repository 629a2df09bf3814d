#!/usr/bin/env bash
# Compiles the stand-ins and the cases that the scripts of this folder start.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac -d target/classes standin/*.java
