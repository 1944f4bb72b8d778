#!/bin/sh
# Builds the stand-ins of review/6 to review/10 into target/review-2/. Each is
# one source file over the headers in review/stand-ins-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
  if [ -f "review/$case/case.cc" ]; then
    "${CXX:-g++}" -std=c++17 -O1 -Wall -pthread -Ireview/stand-ins-2 \
      "review/$case/case.cc" -o "target/review-2/case$case"
  fi
done
