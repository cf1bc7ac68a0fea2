#!/bin/bash
# Guards against a new version of the configuration that is taken for a part of the
# copy: the operator writes the lost version again, and a newer one, before any VM
# has asked the restored store.  Guards too against a version that returns while the
# operator writes the lost ones again, one after the other.
. "$(dirname "$0")/lib.bash"

old_route=',{"database":"stock","routeType":"primary","timeoutMs":1000,
"targetLatencyMs":200,"priority":1,"service":"stand","public":false}'
new_route=${old_route/stock/returns}

# Replaces the configuration with one call, so that no VM asks in between.
replace() { # version, keys, further routes
	curl -sf -X PUT -d "{\"meta\":{},\"spec\":$(line_configuration "$@")}" \
		"http://$STAND_HOST:$LINE_PORT/-/objects/config/main" >/dev/null
}

# Raises the store's revision, and nothing else.
raise_revision() { # by
	local i
	for ((i = 0; i < $1; i++)); do
		line_put notes n "$RANDOM$i"
	done
}

# Restores the store from a copy of before the given time.
restore() { # time in microseconds
	line_fault store down 1
	line_fault store drill $(((${EPOCHREALTIME/./} - $1) / 1000 + 200))
	sleep 0.5
	line_fault store down 0
}

line_start
line_fault store era 1
line_fault store rewrite_ms 600000 # this script writes again what was lost
line_put config main "$(line_configuration 1 '"key-one","key-two"' '')"
line_daemon_start a1 d1 1
line_daemon_start b1 d2 2
for n in 1 2; do
	await_status $n '"state": "stable"' || exit 1
	await_status $n '"phase": "serving"' || exit 1
done
sleep 2

echo "# version 2 withdraws a key and adds a route; the copy does not have it"
copied=${EPOCHREALTIME/./}
sleep 0.3
raise_revision 20
replace 2 '"key-one","key-three"' "$old_route"
for n in 1 2; do
	await_login $n orders key-two ERROR
	await_login $n stock key-one READY
done
sleep 1
# Paused for some tenths of a second, the VMs ask the store after both writes.
kill -STOP "$PID_a1" "$PID_b1"
restore "$copied"
replace 2 '"key-one","key-three"' "$old_route"
replace 3 '"key-one","key-four"' "$new_route"
kill -CONT "$PID_a1" "$PID_b1"
sleep 2.5
for n in 1 2; do
	echo "$n: key of version 3: $(login $n orders key-four)," \
		"withdrawn keys: $(login $n orders key-two)," \
		"$(login $n orders key-three)"
	echo "$n: route of version 3: $(login $n returns key-one)," \
		"removed route: $(login $n stock key-one)"
done

echo "# versions 4 and 5 are lost, and are written again 2 s apart"
copied=${EPOCHREALTIME/./}
sleep 0.3
raise_revision 20
replace 4 '"key-one","key-four"' ''
replace 5 '"key-one","key-five"' ''
for n in 1 2; do
	await_login $n orders key-five READY
done
sleep 1
restore "$copied"
sleep 2
raise_revision 40
replace 4 '"key-one","key-four"' ''
sleep 1
for n in 1 2; do
	echo "$n: withdrawn key: $(login $n orders key-four)," \
		"key of version 5: $(login $n orders key-five)"
done
replace 5 '"key-one","key-five"' ''
sleep 1
replace 6 '"key-six"' ''
for n in 1 2; do
	await_login $n orders key-six READY
	await_login $n orders key-five ERROR
done
