#!/bin/sh
# Installs, from Debian packages, what the build and the tests need and the
# machine lacks.  Needs root or sudo only when something is missing.

PACKAGES="gcc make pkg-config libapr1-dev libaprutil1-dev libmicrohttpd-dev
libcurl4-openssl-dev libtirpc-dev rpcsvc-proto libpopt-dev libjansson-dev
libxxhash-dev libssl-dev zlib1g-dev check libsubunit-dev clang-format clang-tidy
libclang-rt-14-dev clang spin python3 jq curl procps"

missing=
for p in $PACKAGES; do
	dpkg-query -W -f '${Status}' "$p" 2>/dev/null |
		grep -q 'install ok installed' || missing="$missing $p"
done
test -z "$missing" && exit 0

run=
if test "$(id -u)" != 0; then
	if ! command -v sudo >/dev/null; then
		echo "install-deps: run as root, or install:$missing" >&2
		exit 1
	fi
	run=sudo
fi
export DEBIAN_FRONTEND=noninteractive
$run apt-get update -qq >/dev/null &&
$run apt-get install -y -qq $missing >/dev/null || {
	echo "install-deps: apt-get could not install:$missing" >&2
	exit 1
}
