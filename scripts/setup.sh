#!/usr/bin/env bash
# Installs what a fresh Debian machine lacks for a build: the toolchain and a C compiler.
set -euo pipefail
if ! command -v cc >/dev/null; then
  apt-get update && apt-get install -y --no-install-recommends gcc libc6-dev
fi
if ! command -v cargo >/dev/null; then
  apt-get update && apt-get install -y --no-install-recommends rustup
  rustup toolchain install
fi
