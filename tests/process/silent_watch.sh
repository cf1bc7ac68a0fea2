#!/bin/bash
# Guards against a configuration that comes late because a watch of the store
# hangs: its connection is lost without a reset.  A VM must have a change within
# 4 s after all watches went silent, whether it watches the store itself (a1, b1)
# or learns from its peers (a2).
. "$(dirname "$0")/lib.bash"

configuration() { # version, database
	echo "{\"configVersion\":$1,\"routes\":[{\"database\":\"$2\",
	\"routeType\":\"primary\",\"timeoutMs\":1000,\"targetLatencyMs\":400,
	\"priority\":1,\"service\":\"stand\",\"public\":false}],
	\"services\":[{\"name\":\"stand\",\"maxConns\":30}],
	\"limits\":{\"txIdleMs\":3000},\"tenants\":[{\"name\":\"bakery\",
	\"apiKeys\":[\"key-one\"],\"ratePerS\":1000,\"burst\":1000}]}" |
		tr -d '\n\t'
}

login() { # number of the daemon, database
	local answer
	exec 5<>"/dev/tcp/$STAND_HOST/1700$1"
	printf 'STARTUP %s key-one\r\n' "$2" >&5
	read -t 3 -r answer <&5
	exec 5>&-
	echo "daemon $1, $2: ${answer%$'\r'}"
}

pause() { # seconds
	read -t "$1" -r _ <>"$STAND/pause" || true
}

line_start
line_put config main "$(configuration 1 first)"
line_daemon_start a1 d1 1
line_daemon_start a2 d1 2
line_daemon_start b1 d2 3
for n in 1 2 3; do
	await_status $n '"state": "stable"' || exit 1
done
pause 1 # until the first watches wait
# Every watch of the configuration is answered now, and begins again.
line_put config main "$(configuration 2 second)"
pause 0.3
line_fault store silent 1
line_put config main "$(configuration 3 third)"
pause 4
for n in 1 2 3; do
	login $n second
	login $n third
done
