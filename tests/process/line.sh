#!/bin/bash
# Runs the line protocol through separate processes.  Guards against failures in
# sessions, transactions, prepared statements and the check of keys, also while
# an answer is lost, the primary dies, the store is down, or a daemon reloads or
# stops.
. "$(dirname "$0")/lib.bash"

configuration() { # version, keys
	echo "{\"configVersion\":$1,
	\"routes\":[{\"database\":\"orders\",\"routeType\":\"primary\",
	\"timeoutMs\":1000,\"targetLatencyMs\":200,\"priority\":1,
	\"service\":\"stand\",\"public\":false},{\"database\":\"stock\",
	\"routeType\":\"read_your_writes\",\"maxStalenessMs\":2500,
	\"timeoutMs\":1000,\"targetLatencyMs\":400,\"priority\":2,
	\"service\":\"stand\",\"public\":false}],
	\"services\":[{\"name\":\"stand\",\"maxConns\":30}],
	\"limits\":{\"txIdleMs\":3000},\"tenants\":[{\"name\":\"bakery\",
	\"apiKeys\":[$2],\"ratePerS\":1000,\"burst\":1000}]}" | tr -d '\n\t'
}

# Sends one line over descriptor 5 and prints the answer, without the log
# position of READY and COMPLETE.
request() {
	local word
	printf '%s\r\n' "$1" >&5
	while read -t 5 -r answer <&5; do
		answer=${answer%$'\r'}
		word=${answer%% *}
		case $word in
		READY) echo "${answer% *}"; return ;;
		COMPLETE) echo "COMPLETE" ;;
		*) echo "$answer" ;;
		esac
	done
	echo "closed"
}

open_session() { # number, database, key
	exec 5<>"/dev/tcp/$STAND_HOST/1700$1"
	request "STARTUP $2 $3"
}

# Repeats a write, each time in a new session, until it is acknowledged.
await_write() { # number, key
	local tries=200
	until open_session "$1" orders "$2" >/dev/null &&
		request "QUERY w WRITE probe $tries" | grep -q COMPLETE; do
		tries=$((tries - 1))
		[ $tries != 0 ] || { echo "no write goes through"; return 1; }
		read -t 0.05 -r _ <>"$STAND/pause" || true
	done
	echo "writes go through"
}

line_start
line_put config main "$(configuration 1 '"key-one","key-two"')"
line_daemon_start a1 d1 1
line_daemon_start b1 d2 2
for n in 1 2; do
	await_status $n '"state": "stable"' || exit 1
	await_status $n '"slots": 12' || exit 1
	await_status $n '"phase": "serving"' || exit 1
done
echo "ready: $(curl -s -o /dev/null -w '%{http_code}' http://$STAND_HOST:17401/ready)"

echo "# a session, its state and a transaction"
await_write 1 key-one
open_session 1 orders key-one
request "QUERY 1 WRITE cake chocolate"
request "QUERY 2 SET colour blue"
request "QUERY 3 PREPARE s1 READ q"
request "QUERY 4 EXECUTE s1 cake"
request "QUERY 5 BEGIN"
request "QUERY 6 WRITE cake lemon"
request "QUERY 7 READ cake"
request "QUERY 8 ROLLBACK"
request "QUERY 9 READ cake"
request "QUERY 10 FLY"
request "QUERY"

echo "# a line feed in a text doesn't make two statements of one"
request "QUERY 11 WRITE cake x
QUERY 12 WRITE cake y"
request "QUERY 13 BEGIN"
request "QUERY 14 PREPARE s2
QUERY 15 WRITE cake z"
request "FLY"
request "QUERY 16 COMMIT"
request "QUERY 17 READ cake"

echo "# read-your-writes through a session of the other VM"
open_session 2 stock key-one
request "QUERY 1 WRITE lustre gold"
request "QUERY 2 READ lustre"
request "TERMINATE"

echo "# wrong names and keys"
open_session 1 nowhere key-one
open_session 1 orders stolen

echo "# an answer is lost: a read is run again, a write is in doubt"
await_write 1 key-one
open_session 1 orders key-one
line_fault i-db1 lose 1
request "QUERY 1 READ cake"
line_fault i-db1 lose 1
request "QUERY 2 WRITE cake plain"

echo "# the primary dies"
line_fault i-db1 down 1
await_write 1 key-one
await_write 2 key-one
line_fault i-db1 down 0

echo "# the store is away for a moment"
line_fault store down 1
open_session 1 orders key-one
request "QUERY 1 WRITE cake nut"
line_fault store down 0

echo "# a key is withdrawn"
open_session 2 orders key-two
request "QUERY 1 READ lustre"
line_put config main "$(configuration 2 '"key-one"')"
tries=100
while request "QUERY 2 READ lustre" | grep -q COMPLETE; do
	tries=$((tries - 1))
	[ $tries != 0 ] || break
	read -t 0.05 -r _ <>"$STAND/pause" || true
done
open_session 2 orders key-two
open_session 1 orders key-one

echo "# the latencies of the other VM"
curl -sf http://$STAND_HOST:17202/metrics |
	grep -E '^kl_statement_seconds_count.*(session|primary).*served' |
	sed 's/} [1-9][0-9]*$/} some/'

echo "# the statements of each priority"
curl -sf http://$STAND_HOST:17202/metrics |
	grep -E '^kl_priority_served_total' |
	sed 's/} [1-9][0-9]*$/} some/'

echo "# reload, and a planned stop"
kill -HUP "$PID_a1"
request "QUERY 1 READ lustre"
request "QUERY 2 BEGIN"
kill -TERM "$PID_a1"
read -t 0.3 -r _ <>"$STAND/pause"
echo "ready: $(curl -s -o /dev/null -w '%{http_code}' http://$STAND_HOST:17401/ready)"
request "QUERY 3 WRITE lustre silver"
request "QUERY 4 COMMIT"
wait "$PID_a1"
echo "exit $?"
grep -c '"event":"reload"' "$STAND/a1.log"
grep -c "key-one" "$STAND/a1.log" "$STAND/b1.log" | sed 's/.*://'
