#!/bin/bash
# Guards against refusing the first request after a start of the whole system by
# its rate: the plan is untouched, but the daemon has no tokens yet.  STARTS is
# the number of starts.
. "$(dirname "$0")/lib.bash"

first_write() {
	local answer tries=500
	until exec 5<>/dev/tcp/$STAND_HOST/17001; do
		tries=$((tries - 1))
		[ $tries != 0 ] || { echo "no connection"; return; }
		read -t 0.005 -r _ <>"$STAND/pause" || true
	done 2>/dev/null
	printf 'STARTUP stock key-one\r\nQUERY 1 WRITE fondant 1\r\n' >&5
	while read -t 8 -r answer <&5; do
		case $answer in
		ERROR* | COMPLETE*) echo "${answer%% [0-9]*}"; return ;;
		esac
	done
	echo "closed"
}

for ((i = 0; i < ${STARTS:-6}; i++)); do
	line_start
	line_put config main '{"configVersion":1,"routes":[{"database":"stock",
"routeType":"primary","timeoutMs":1000,"targetLatencyMs":400,"priority":1,
"service":"stand","public":false}],"services":[{"name":"stand","maxConns":30}],
"limits":{"txIdleMs":3000},"tenants":[{"name":"bakery","apiKeys":["key-one"],
"ratePerS":1000,"burst":1000}]}'
	line_daemon_start a1 d1 1
	first_write | tr -d '\r'
	exec 5>&-
	stop_processes
	rm -f "$STAND"/line.ready
done
