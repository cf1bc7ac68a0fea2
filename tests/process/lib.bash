# Functions of the process tests, which run the programs as separate processes.
# shellcheck shell=bash
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
. scripts/stand.sh
# Prints sanitizer reports from the logs: they differ from the expected output
# and so fail the test.
clean_up() {
	stop_processes
	cat "$STAND"/*.log "$STAND"/*.err 2>/dev/null |
		grep -A 12 -E "ERROR: AddressSanitizer|runtime error|WARNING: ThreadSanitizer"
	stand_clean_up
}
trap clean_up EXIT
client="$BUILD/tests/process/client"

# Prints the new key.
create_key() { # workspace
	ctl key give "$1" k1 | sed -n 's/^key \([0-9a-f]\{48\}\)$/\1/p'
}

# Starts the stand-ins and the daemons a1 (d1), b1 (d2) and c1 (d3) for the
# service "orders", creates two workspaces, and waits until all is ready.
stand_up() { # further options of the database stand-in
	platform_start
	database_start "$@"
	daemon_start a1 d1 1 "${DAEMON_SETTINGS:-}"
	daemon_start b1 d2 2 "${DAEMON_SETTINGS:-}"
	daemon_start c1 d3 3 "${DAEMON_SETTINGS:-}"
	ctl plan set gold 90 6000 1200 >/dev/null
	ctl workspace add bakery gold >/dev/null
	ctl workspace add press gold >/dev/null
	KEY=$(create_key bakery)
	PRESS_KEY=$(create_key press)
	for n in 1 2 3; do
		await_status $n '"state": "stable"' || exit 1
		await_status $n '"slots": 8' || exit 1
		await_status $n '"session_cap": 30' || exit 1
	done
}

# Runs the steps of tests/process/client from standard input.
steps() {
	"$client" 2>>"$STAND/timing"
}

# Prints a metric of a daemon.
counter() { # number of the daemon, name
	curl -sf "http://$STAND_HOST:$((17200 + $1))/metrics" |
		sed -n "s/^$2 //p"
}

# Waits until a line of the state of the databases matches the pattern.
await_database() { # pattern
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

# A client that runs one step at a time, between other commands.
client_start() {
	coproc CLIENT { "$client" 2>>"$STAND/timing"; }
	client_pid=$CLIENT_PID
}

send_step() {
	echo "$1" >&"${CLIENT[1]}"
}

show_answer() {
	read -r answer <&"${CLIENT[0]}" && echo "$answer"
}

client_stop() {
	eval "exec ${CLIENT[1]}>&-"
	wait "$client_pid"
}

# Prints a configuration with one workspace and the route "orders".
line_configuration() { # version, keys, further routes
	echo "{\"configVersion\":$1,
	\"routes\":[{\"database\":\"orders\",\"routeType\":\"primary\",
	\"timeoutMs\":1000,\"targetLatencyMs\":200,\"priority\":1,
	\"service\":\"stand\",\"public\":false}$3],
	\"services\":[{\"name\":\"stand\",\"maxConns\":30}],
	\"limits\":{\"txIdleMs\":3000},\"tenants\":[{\"name\":\"bakery\",
	\"apiKeys\":[$2],\"ratePerS\":1000,\"burst\":1000}]}" | tr -d '\n\t'
}

# Prints the answer to a start of a session with the line protocol.
login() { # number, database, key
	local answer
	exec 5<>"/dev/tcp/$STAND_HOST/1700$1"
	printf 'STARTUP %s %s\r\n' "$2" "$3" >&5
	read -t 5 -r answer <&5
	answer=${answer%$'\r'}
	echo "${answer%% [0-9]*}"
	exec 5>&-
}

# Waits until the answer to a start of a session matches the pattern.
await_login() { # number, database, key, answer
	local tries=100
	until login "$1" "$2" "$3" | grep -q "$4"; do
		tries=$((tries - 1))
		[ $tries != 0 ] || { echo "no $4"; return 1; }
		read -t 0.05 -r _ <>"$STAND/pause" || true
	done
	echo "$4"
}
