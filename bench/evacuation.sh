#!/bin/bash
# Measures planned evacuations of the primary's failure domain on the stand-ins: the
# time from the store's acknowledgement to the first write at the new primary, and
# which share of the statements is refused in the 4 s after it, beside 24 sessions that
# write and run transactions without a pause.  Usage: bench/evacuation.sh [RUNS]
. "$(dirname "$0")/../tests/process/lib.bash"
runs=${1:-5}

pause() { # seconds
	read -t "$1" -r _ <>"$STAND/pause" || true
}

sum() { # metric
	echo $(($(counter 1 "$1") + $(counter 2 "$1") + $(counter 3 "$1")))
}

now_ms() {
	echo $((${EPOCHREALTIME/./} / 1000))
}

# Prints the first line of the answer.
ask() { # statement
	local line first=
	printf 'QUERY m %s\r\n' "$1" >&5
	while read -t 4 -r line <&5; do
		first=${first:-$line}
		[ "${line%% *}" = READY ] && break
	done
	echo "$first"
}

line_start
line_put config main "$(echo '{"configVersion":1,
	"routes":[{"database":"orders","routeType":"primary",
	"timeoutMs":1000,"targetLatencyMs":200,"priority":1,
	"service":"stand","public":false}],
	"services":[{"name":"stand","maxConns":300}],
	"limits":{"txIdleMs":3000},"tenants":[{"name":"bakery",
	"apiKeys":["key-one"],"ratePerS":100000,"burst":100000}]}' |
	tr -d '\n\t')"
for n in 1 2 3; do
	line_daemon_start v$n d$n $n
done
for n in 1 2 3; do
	await_status $n '"state": "stable"' || exit 1
	await_status $n '"slots": 8' || exit 1
done
"$BUILD/tests/process/busy_sessions" 24 20 $((runs * 8 + 4)) 17001 17002 \
	>/dev/null 2>&1 &
exec 5<>/dev/tcp/$STAND_HOST/17003
printf 'STARTUP orders key-one\r\n' >&5
read -t 3 -r _ <&5
pause 1
for ((run = 1; run <= runs; run++)); do
	old=$(ask "WRITE a b")
	old=${old#COMPLETE i-db}
	old=${old%%.*}
	admitted=$(sum kl_admitted_total)
	refused=$(sum kl_refused_other_total)
	unknown=$(sum kl_unknown_outcomes_total)
	line_put evacuations "e$old" '{}'
	start=$(now_ms)
	answer=$(ask "WRITE a b")
	while [[ $answer != COMPLETE* || $answer == "COMPLETE i-db$old."* ]]; do
		pause 0.01
		answer=$(ask "WRITE a b")
	done
	gap=$(($(now_ms) - start))
	pause 4
	refused=$(($(sum kl_refused_other_total) - refused))
	unknown=$(($(sum kl_unknown_outcomes_total) - unknown))
	admitted=$(($(sum kl_admitted_total) - admitted))
	echo "run $run: first write at the new primary after $gap ms;" \
		"$refused refused and $unknown unknown beside $admitted admitted"
	curl -sf -X DELETE \
		"http://$STAND_HOST:$LINE_PORT/-/objects/evacuations/e$old" \
		>/dev/null
	pause 3
done
