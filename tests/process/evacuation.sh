#!/bin/bash
# Guards against statements at databases of an evacuated failure domain, later than 5 s
# after the store's acknowledgement: what counts is what the databases see.  A planned
# evacuation promotes a database elsewhere; without one, what only a database that leaves
# could run is refused as not run, and open transactions end with nothing kept.
. "$(dirname "$0")/lib.bash"

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

# Logs in to daemon N and sends statements; prints the first line of each answer.
session() { # descriptor, number of the daemon, database
	eval "exec $1<>/dev/tcp/127.0.0.1/1700$2"
	printf 'STARTUP %s key-one\r\n' "$3" >&"$1"
	read -t 3 -r answer <&"$1"
}

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
		"http://127.0.0.1:$LINE_PORT/-/objects/evacuations/$1" >/dev/null
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
		"http://127.0.0.1:$LINE_PORT/standin/late" | wc -l)"
}

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
session 5 2 orders
session 6 3 orders
echo "write: $(write_until_served 5 30)"

echo "The domain of the primary is evacuated."
evacuate e1
pause 0.3
echo "write: $(write_until_served 5 40)"
await_status 2 '"primary": "i-db[23]"' || exit 1
late

echo "All are; a transaction is open."
echo "BEGIN: $(ask 6 BEGIN) WRITE: $(ask 6 'WRITE c d')"
evacuate e2
evacuate e3
pause 5.6
echo "WRITE: $(ask 6 'WRITE c e') COMMIT: $(ask 6 COMMIT)"
echo "write: $(ask 5 'WRITE a x')"
late

echo "They are taken back."
for domain in e1 e2 e3; do
	take_back $domain
done
pause 0.3
echo "write: $(write_until_served 5 40)"
session 7 1 stock
echo "read of the transaction: $(ask 7 'READ c')"
late
