#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Run it after
# the build of the deploy file; it needs only the packages that are named there.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
Out=target/review-2
mkdir -p "$Out"
compile() { "${CXX:-g++}" -std=c++20 -O1 -g -pthread "$@"; }
Objects=()
for Source in review/standins-2/*.cpp; do
  Object="$Out/$(basename "$Source" .cpp).o"
  compile -c "$Source" -o "$Object"
  Objects+=("$Object")
done
for Main in review/{6,7,8,9,10}/Main.cpp; do
  [ -e "$Main" ] || continue
  Case=$(basename "$(dirname "$Main")")
  compile "$Main" "${Objects[@]}" -o "$Out/case-$Case"
done
