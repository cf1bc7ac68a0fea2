#!/bin/bash
# Two daemons share the slots of databases by permits.  Each statement is later
# than its objective of 0, so that every database is contended.  Guards against
# a worker or a control thread that is not woken when a permit is wanted or has
# come, and against a daemon that waits for an arbiter that has died.
. "$(dirname "$0")/lib.bash"

configuration='{"configVersion":1,
	"routes":[{"database":"orders","routeType":"primary",
	"timeoutMs":1000,"targetLatencyMs":0,"priority":1,
	"service":"stand","public":false}],
	"services":[{"name":"stand","maxConns":30}],
	"limits":{"txIdleMs":3000},"tenants":[{"name":"bakery",
	"apiKeys":["key-one"],"ratePerS":5000,"burst":5000}]}'

# Sends one line over descriptor 5 and prints the first word of the answer.
request() {
	printf '%s\r\n' "$1" >&5
	while read -t 5 -r answer <&5; do
		case $answer in
		ROW*) ;;
		*) echo "${answer%%[ $'\r']*}" ;;
		esac
		case $answer in
		READY*) return ;;
		esac
	done
	echo "closed"
}

open_session() { # number
	exec 5<>"/dev/tcp/$STAND_HOST/1700$1"
	request "STARTUP orders key-one"
}

# Runs statements one after the other; prints how many were served.
run_statements() { # number of the daemon, statements
	local i
	open_session "$1" >/dev/null
	for ((i = 0; i < $2; i++)); do
		request "QUERY $i WRITE cake $i"
	done | grep -c COMPLETE
}

counter() { # number of the daemon, name
	curl -sf "http://$STAND_HOST:1720$1/metrics" |
		sed -n "s/^$2 //p"
}

line_start
line_put config main "$(echo "$configuration" | tr -d '\n\t')"
line_daemon_start a1 d1 1 "slot_permits: 1"
line_daemon_start b1 d2 2 "slot_permits: 1"
for n in 1 2; do
	await_status $n '"state": "stable"' || exit 1
	await_status $n '"slots": 12' || exit 1
	await_status $n '"phase": "serving"' || exit 1
done
until [ "$(run_statements 1 1)" = 1 ] && [ "$(run_statements 2 1)" = 1 ]; do
	:
done

echo "# the arbiter of the primary is a1"
started=$(date +%s%N)
(run_statements 1 200 >"$STAND/one") &
one=$!
(run_statements 2 200 >"$STAND/two") &
two=$!
run_statements 2 200
wait $one $two
cat "$STAND/one" "$STAND/two"
elapsed=$((($(date +%s%N) - started) / 1000000))
# A wait for the next tick of either thread would add 10 ms to each.
[ $elapsed -lt 4000 ] && echo "in time" || echo "$elapsed ms"
[ "$(counter 1 kl_permits_granted_total)" -gt 100 ] && echo "granted"
[ "$(counter 2 kl_permit_waits_total)" -gt 100 ] && echo "waited"
counter 2 kl_permits_granted_total
counter 2 kl_peer_malformed_total

echo "# the arbiter dies"
kill -KILL "$PID_a1"
run_statements 2 50
[ "$(counter 2 kl_permits_unanswered_total)" -gt 0 ] && echo "unanswered"
grep -q '"decision":"arbiter_silent"' "$STAND/b1.log" && echo "logged"
