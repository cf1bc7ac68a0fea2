#!/bin/bash
# Guards against wrong, missing and contradictory usage reports when an answer of
# the platform is lost, and when the VM that reports is killed.
. "$(dirname "$0")/lib.bash"
SETTINGS='duties: failover,usage_report
usage_window_s: 1
usage_delay_s: 3'

pause() { # seconds
	read -t "$1" -r _ <>"$STAND/pause" || true
}

usage() {
	curl -sf "http://$STAND_HOST:$LINE_PORT/standin/usage"
}

# Operations of the workspace in all reports.
reported() {
	usage | sed -n 's/.*"bakery":\([0-9]*\).*/\1/p' |
		{ sum=0; while read -r n; do sum=$((sum + n)); done; echo $sum; }
}

# Windows without a report between the first and the last one.
missing_windows() {
	usage | sed -n 's/^\([0-9]*\) .*/\1/p' |
		{ last=; gaps=0; while read -r n; do
			[ -z "$last" ] || gaps=$((gaps + n - last - 1))
			last=$n
		done; echo $gaps; }
}

# Waits until the reports have that many operations.
await_reported() { # number
	local tries=300
	until [ "$(reported)" = "$1" ]; do
		tries=$((tries - 1))
		[ $tries != 0 ] || { echo "reported $(reported), not $1"; return; }
		pause 0.05
	done
	echo "reported as run"
}

# Runs writes in a session; sets "ran" to the number of all that were run.
ran=0
write() { # number of the VM, count
	local i answer word
	exec 5<>"/dev/tcp/$STAND_HOST/1700$1"
	printf 'STARTUP orders key-one\r\n' >&5
	read -t 5 -r answer <&5
	for i in $(seq "$2"); do
		printf 'QUERY %s WRITE item %s\r\n' "$i" "$i" >&5
		while read -t 5 -r answer <&5; do
			word=${answer%% *}
			[ "$word" != COMPLETE ] || ran=$((ran + 1))
			[ "$word" != READY ] || break
		done
	done
	exec 5>&-
}

line_start
line_put config main '{"configVersion":1,"routes":[{"database":"orders","routeType":"primary","timeoutMs":1000,"targetLatencyMs":200,"priority":1,"service":"stand","public":false}],"services":[{"name":"stand","maxConns":30}],"limits":{"txIdleMs":3000},"tenants":[{"name":"bakery","apiKeys":["key-one"],"ratePerS":1000,"burst":1000}]}'
line_daemon_start a1 d1 1 "$SETTINGS"
line_daemon_start b1 d2 2 "$SETTINGS"
line_daemon_start c1 d3 3 "$SETTINGS"
for n in 1 2 3; do
	await_status $n '"state": "stable"' || exit 1
	await_status $n '"slots": 8' || exit 1
	await_status $n '"phase": "serving"' || exit 1
done
echo "# operations on all VMs"
for n in 1 2 3; do
	write $n 20
done
await_reported $ran

echo "# answers to reports are lost"
line_fault usage lose 2
write 2 20
await_reported $ran

echo "# the VM that reports is killed"
holder=$(usage | sed -n 's/.* holder \([a-z0-9]*\) .*/\1/p')
for n in 1 2 3; do
	write $n 20
done
pause 0.8
eval "kill -KILL \"\$PID_$holder\""
for n in 1 2 3; do
	case $n$holder in 1a1 | 2b1 | 3c1) ;; *) write $n 20 ;; esac
done
await_reported $ran
[ "$(usage | sed -n 's/.* holder \([a-z0-9]*\) .*/\1/p')" = "$holder" ] ||
	echo "another VM reports"
echo "missing windows: $(missing_windows)"
for n in 1 2 3; do
	[ "$(counter $n kl_usage_holder)" != 1 ] || echo "the one that counts" \
		"itself as holder reported $(counter $n kl_usage_windows_reported_total | sed 's/[1-9][0-9]*/some/') and missed $(counter $n kl_usage_windows_missed_total)"
done
usage | sed -n 's/ repeated [1-9].*/ repeated some/p'
