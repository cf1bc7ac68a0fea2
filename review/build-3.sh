#!/bin/sh
# Builds what the cases 11 to 15 start besides the daemon: the project's own
# stand-in of the store and the databases, and review/standins-3/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
make -s -j4 BUILD=target/build-review-3 target/build-review-3/kl-standin-line
cp target/build-review-3/kl-standin-line "$out/"
build() { # program, sources
	program=$1
	shift
	# shellcheck disable=SC2046
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror \
		-o "$out/$program" "$@" $(pkg-config --cflags --libs libevent)
}
cd review/standins-3
out=../../$out
build lapse lapse.c config.c common.c
build backlog backlog.c config.c common.c
build relay relay.c
build watch-cut watch_cut.c config.c common.c
build bomb bomb.c config.c common.c
build drill drill.c config.c common.c
