#!/bin/bash
# Lines of words: sessions, transactions, prepared statements, keys, a change
# of primary, a store that is away, reload and stop, as separate processes.
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

# Sends one line over descriptor 5 and prints the answer without positions.
ask() {
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

session() { # number, database, key
	exec 5<>"/dev/tcp/127.0.0.1/1700$1"
	ask "STARTUP $2 $3"
}

# Until a write goes through, by sessions of their own.
await_write() { # number, key
	local tries=200
	until session "$1" orders "$2" >/dev/null &&
		ask "QUERY w WRITE probe $tries" | grep -q COMPLETE; do
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
done
echo "ready: $(curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:17401/ready)"

echo "# a session, its state and a transaction"
await_write 1 key-one
session 1 orders key-one
ask "QUERY 1 WRITE cake chocolate"
ask "QUERY 2 SET colour blue"
ask "QUERY 3 PREPARE s1 READ q"
ask "QUERY 4 EXECUTE s1 cake"
ask "QUERY 5 BEGIN"
ask "QUERY 6 WRITE cake lemon"
ask "QUERY 7 READ cake"
ask "QUERY 8 ROLLBACK"
ask "QUERY 9 READ cake"
ask "QUERY 10 FLY"
ask "QUERY"

echo "# read-your-writes through a session of the other VM"
session 2 stock key-one
ask "QUERY 1 WRITE lustre gold"
ask "QUERY 2 READ lustre"
ask "TERMINATE"

echo "# wrong names and keys"
session 1 nowhere key-one
session 1 orders stolen

echo "# an answer is lost: a read is run again, a write is in doubt"
await_write 1 key-one
session 1 orders key-one
line_fault i-db1 lose 1
ask "QUERY 1 READ cake"
line_fault i-db1 lose 1
ask "QUERY 2 WRITE cake plain"

echo "# the primary dies"
line_fault i-db1 down 1
await_write 1 key-one
await_write 2 key-one
line_fault i-db1 down 0

echo "# the store is away for a moment"
line_fault store down 1
session 1 orders key-one
ask "QUERY 1 WRITE cake nut"
line_fault store down 0

echo "# a key is withdrawn"
session 2 orders key-two
ask "QUERY 1 READ lustre"
line_put config main "$(configuration 2 '"key-one"')"
tries=100
while ask "QUERY 2 READ lustre" | grep -q COMPLETE; do
	tries=$((tries - 1))
	[ $tries != 0 ] || break
	read -t 0.05 -r _ <>"$STAND/pause" || true
done
session 2 orders key-two
session 1 orders key-one

echo "# the latencies of the other VM"
curl -sf http://127.0.0.1:17202/metrics |
	grep -E '^kl_statement_seconds_count.*(session|primary).*served' |
	sed 's/} [1-9][0-9]*$/} some/'

echo "# reload, and a planned stop"
kill -HUP "$PID_a1"
ask "QUERY 1 READ lustre"
ask "QUERY 2 BEGIN"
kill -TERM "$PID_a1"
read -t 0.3 -r _ <>"$STAND/pause"
echo "ready: $(curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:17401/ready)"
ask "QUERY 3 WRITE lustre silver"
ask "QUERY 4 COMMIT"
wait "$PID_a1"
echo "exit $?"
grep -c '"event":"reload"' "$STAND/a1.log"
grep -c "key-one" "$STAND/a1.log" "$STAND/b1.log" | sed 's/.*://'
