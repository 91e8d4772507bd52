#!/bin/bash
# Builds the stand-ins and the scenarios of the second review's scripts into dist/review-2/.
set -eu
cd "$(dirname "$0")/.."
out=dist/review-2
rm -rf "$out"
mkdir -p "$out"
for source in review/common-2/*.mjs.txt review/6/*.mjs.txt review/7/*.mjs.txt review/8/*.mjs.txt \
    review/9/*.mjs.txt review/10/*.mjs.txt; do
    if [ -e "$source" ]; then
        name=$(basename "$source" .txt)
        cp "$source" "$out/$name"
    fi
done
