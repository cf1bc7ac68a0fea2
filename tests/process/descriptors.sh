#!/bin/bash
# More clients connect than the daemon has descriptors.  Open sessions must be
# served all the while, the surplus refused or left waiting, and the daemon must
# not spin; once the others have left, new sessions are accepted.
. "$(dirname "$0")/lib.bash"

# Sends one line over a descriptor and prints the last line of the answer
# before READY, or what ended it.
request() { # descriptor, line
	local answer last=closed
	printf '%s\r\n' "$2" >&"$1"
	while read -t 5 -r answer <&"$1"; do
		answer=${answer%$'\r'}
		case ${answer%% *} in
		READY) echo "${last/closed/READY}"; return ;;
		*) last=${answer%% *} ;;
		esac
	done
	echo "$last"
}

line_start
line_put config main '{"configVersion":1,"routes":[{"database":"stock",
"routeType":"primary","timeoutMs":1000,"targetLatencyMs":400,"priority":1,
"service":"stand","public":false}],"services":[{"name":"stand","maxConns":30}],
"limits":{"txIdleMs":3000},"tenants":[{"name":"bakery","apiKeys":["key-one"],
"ratePerS":1000,"burst":1000}]}'
soft=$(ulimit -S -n)
ulimit -S -n 96
line_daemon_start a1 d1 1
ulimit -S -n "$soft"
await_status 1 '"state": "stable"' || exit 1
exec 5<>/dev/tcp/$STAND_HOST/17001
echo "first session: $(request 5 'STARTUP stock key-one')"
echo "write: $(request 5 'QUERY 1 WRITE fondant 1')"

sessions=()
refused=0
for ((i = 0; i < 90; i++)); do
	exec {fd}<>/dev/tcp/$STAND_HOST/17001 || break
	printf 'STARTUP stock key-one\r\n' >&"$fd"
	sessions+=("$fd")
done
read -t 1 -r _ <>"$STAND/pause" || true # idle upstream connections close
for fd in "${sessions[@]}"; do
	if read -t 0.02 -r answer <&"$fd" && [[ $answer == ERROR* ]]; then
		refused=$((refused + 1))
	fi
done
[ "$refused" != 0 ] && echo "surplus sessions are refused"
ticks() {
	awk '{ print $14 + $15 }' "/proc/$PID_a1/stat"
}
before=$(ticks)
read -t 1 -r _ <>"$STAND/pause" || true
used=$(($(ticks) - before))
[ "$used" -lt 30 ] && echo "the daemon does not spin" ||
	echo "the daemon used $used ticks in a second"
for ((i = 2; i < 6; i++)); do
	echo "write: $(request 5 "QUERY $i WRITE fondant $i")"
	read -t 0.4 -r _ <>"$STAND/pause" || true
done
for fd in "${sessions[@]}"; do
	exec {fd}>&-
done
read -t 0.5 -r _ <>"$STAND/pause" || true
exec 6<>/dev/tcp/$STAND_HOST/17001
echo "new session: $(request 6 'STARTUP stock key-one')"
echo "write: $(request 6 'QUERY 9 WRITE fondant 9')"
