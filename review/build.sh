#!/bin/sh
# Builds the stand-ins that the scripts of review/ start.
set -e
cd "$(dirname "$0")"
for folder in [1-5]; do
  [ -f "$folder/case.cc" ] || continue
  ${CXX:-g++} -std=c++17 -O2 -Wall -Wextra -pthread -o "$folder/case" \
    "$folder/case.cc"
done
