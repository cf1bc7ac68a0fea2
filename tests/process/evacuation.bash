# Functions for process tests of evacuations, on the stand-ins of the line protocol.
# shellcheck shell=bash disable=SC2034
. "$(dirname "${BASH_SOURCE[0]}")/lib.bash"

configuration='{"configVersion":1,"routes":[{"database":"orders",
"routeType":"primary","timeoutMs":1000,"targetLatencyMs":200,"priority":1,
"service":"stand","public":false},{"database":"stock",
"routeType":"read_your_writes","maxStalenessMs":2500,"timeoutMs":1000,
"targetLatencyMs":400,"priority":2,"service":"stand","public":false}],
"services":[{"name":"stand","maxConns":30}],"limits":{"txIdleMs":60000},
"tenants":[{"name":"bakery","apiKeys":["key-one"],"ratePerS":1000,
"burst":1000}]}'

pause() { # seconds
	read -t "$1" -r _ <>"$STAND/pause" || true
}

# Logs in to a daemon; the session stays open.
session() { # descriptor, number of the daemon, database
	eval "exec $1<>/dev/tcp/$STAND_HOST/1700$2"
	printf 'STARTUP %s key-one\r\n' "$3" >&"$1"
	read -t 3 -r answer <&"$1"
}

# Sends a statement in a session; prints the first word of the answer, or the error.
ask() { # descriptor, statement
	local line first=
	printf 'QUERY q%s %s\r\n' "$RANDOM" "$2" >&"$1"
	while read -t 4 -r line <&"$1"; do
		line=${line%$'\r'}
		first=${first:-$line}
		[ "${line%% *}" = READY ] && break
	done
	case $first in
	ERROR*) echo "${first%% i-*}" ;;
	*) echo "${first%% *}" ;;
	esac
}

evacuate() { # failure domain
	line_put evacuations "$1" '{}'
}

take_back() { # failure domain
	curl -sf -X DELETE \
		"http://$STAND_HOST:$LINE_PORT/-/objects/evacuations/$1" >/dev/null
}

# Repeats a write until it succeeds, as a client does.
write_until_served() { # descriptor, limit in tenths of a second
	local n answer
	for ((n = 0; n < $2; n++)); do
		answer=$(ask "$1" "WRITE a b$n")
		[ "$answer" = COMPLETE ] && break
		pause 0.1
	done
	echo "$answer"
}

late() {
	echo "late statements: $(curl -sf \
		"http://$STAND_HOST:$LINE_PORT/standin/late" | wc -l)"
}

# Starts the daemons a1 and a2 (d1) and b1 (d2).
evacuation_stand_up() {
	line_start
	line_put config main "$(echo "$configuration" | tr -d '\n')"
	line_daemon_start a1 d1 1
	line_daemon_start a2 d1 2
	line_daemon_start b1 d2 3
	for n in 1 2 3; do
		await_status $n '"state": "stable"' || exit 1
		await_status $n '"phase": "serving"' || exit 1
	done
	pause 1
}
