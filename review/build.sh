#!/bin/bash
# Builds the cases and their stand-ins into target/review. They use nothing but Node.js, so that building means to copy them
# under the names by which Node.js and their imports know them. Here they end with .txt: the project's linter reads all
# modules, and these belong to none of its TypeScript projects.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
for source in review/common/*.mjs.txt review/[1-5]/*.mjs.txt; do
    built="target/${source%.txt}"
    mkdir -p "$(dirname "$built")"
    cp "$source" "$built"
    node --check "$built"
done
