#!/usr/bin/env bash
# Installs the compilers, tools and libraries that the project needs.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
  libasio-dev libboost1.81-dev libfmt-dev libhttp-parser-dev libboost-log1.81-dev
  libboost-program-options1.81-dev libboost-json1.81-dev
  libboost-test1.81-dev libnghttp2-dev libnghttp3-dev libngtcp2-dev
  libngtcp2-crypto-gnutls-dev libgnutls28-dev libsodium-dev libxxhash-dev
  librapidcheck-dev curl jq python3 util-linux
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q '^install ok installed$' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${missing[@]}"
fi
