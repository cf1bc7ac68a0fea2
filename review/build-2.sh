#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, into target/.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 BUILD=target/build target/build/kl-standin-line
mkdir -p target/review-2
# shellcheck disable=SC2046
gcc -D_GNU_SOURCE -I. -O2 -g -std=gnu11 -Wall -Wextra -Werror \
	-o target/review-2/group review/standins-2/*.c \
	$(pkg-config --cflags --libs jansson libevent)
