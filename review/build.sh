#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
packages="libevent libevent_pthreads jansson glib-2.0"
# shellcheck disable=SC2046
gcc -O2 -g -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Wno-unused-function \
	$(pkg-config --cflags $packages) -o target/review/stand \
	review/*.c $(pkg-config --libs $packages)
