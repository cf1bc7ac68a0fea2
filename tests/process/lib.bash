# What the process tests share: a stand with a workspace and its key.
# shellcheck shell=bash
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
. scripts/stand.sh
# A sanitizer's report in a log shows in the output, and so fails the test.
finish() {
	stand_end
	cat "$STAND"/*.log "$STAND"/*.err 2>/dev/null |
		grep -A 12 -E "ERROR: AddressSanitizer|runtime error|WARNING: ThreadSanitizer"
	rm -rf "$STAND"
}
trap finish EXIT
client="$BUILD/tests/process/client"

give_key() { # workspace
	ctl key give "$1" k1 | sed -n 's/^key \([0-9a-f]\{48\}\)$/\1/p'
}

# Three daemons a1 (d1), b1 (d2), c1 (d3) before the service "orders".
stand_up() { # further options of the database stand-in
	platform_start
	database_start "$@"
	daemon_start a1 d1 1 "${DAEMON_SETTINGS:-}"
	daemon_start b1 d2 2 "${DAEMON_SETTINGS:-}"
	daemon_start c1 d3 3 "${DAEMON_SETTINGS:-}"
	ctl plan set gold 90 6000 1200 >/dev/null
	ctl workspace add bakery gold >/dev/null
	ctl workspace add press gold >/dev/null
	KEY=$(give_key bakery)
	PRESS_KEY=$(give_key press)
	for n in 1 2 3; do
		await_status $n '"state": "stable"' || exit 1
		await_status $n '"slots": 8' || exit 1
		await_status $n '"session_cap": 30' || exit 1
	done
}

steps() { # client steps on standard input
	"$client" 2>>"$STAND/timing"
}

counter() { # number, name
	curl -sf "http://127.0.0.1:$((17200 + $1))/metrics" |
		sed -n "s/^$2 //p"
}

# Waits until the state of the databases has a line like the pattern.
await_database() {
	local tries=1000
	until database_state | grep -q "$1"; do
		tries=$((tries - 1))
		if [ $tries = 0 ]; then
			echo "no database showed $1"
			return 1
		fi
		read -t 0.01 -r _ <>"$STAND/pause" || true
	done
}

# A caller that takes one step at a time, between other commands.
caller_start() {
	coproc CALLER { "$client" 2>>"$STAND/timing"; }
	caller_pid=$CALLER_PID
}

say() {
	echo "$1" >&"${CALLER[1]}"
}

hear() {
	read -r answer <&"${CALLER[0]}" && echo "$answer"
}

caller_end() {
	eval "exec ${CALLER[1]}>&-"
	wait "$caller_pid"
}
