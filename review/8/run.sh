#!/bin/bash
# The store is restored from a copy.  As soon as it is back, the operator writes
# the lost version of the configuration again and then a newer one, before any
# VM has asked the store: the VMs take the newer one for a part of the copy and
# ignore it from then on.
[ -n "${BASH_VERSION:-}" ] || exec bash "$0" "$@"
. "$(dirname "$0")/../standins-2/stand.bash"

STOCK=8500
API=http://$STORE:$STORE_PORT
# configApplyMs and, as the store was away, maxSkewMs.
BOUND_S=15
COPY_AGE_MS=6000
: "${DELAY_S:=0}" # from the store's return to the operator's calls

store_fault() { # name, value
	curl -sf "$API/standin/fault?db=store&name=$1&value=$2" >/dev/null ||
		cannot "fault of the store"
	note "store $1 $2"
}

# The keys of each version differ in the last one.
spec() { # version
	echo "{\"configVersion\":$1,\"routes\":[{\"name\":\"r1\",\"database\":\"orders\",\"routeType\":\"primary\",\"timeoutMs\":1000,\"targetLatencyMs\":200,\"priority\":1,\"service\":\"stock\",\"public\":false}],\"services\":[{\"name\":\"stock\",\"maxConns\":32,\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000},\"tenants\":[{\"name\":\"bakery\",\"apiKeys\":[\"key-always\",\"key-of-$1\"],\"ratePerS\":500,\"burst\":500}]}"
}

# Replaces the configuration with one call.
replace() { # version
	curl -sf -X PUT -d "{\"meta\":{\"name\":\"main\"},\"spec\":$(spec "$1")}" \
		"$API/-/objects/config/main" >/dev/null ||
		cannot "version $1 was refused"
	note "version $1 is acknowledged"
}

# Writes with a key at a VM.
write_with() { # number of the VM, key
	RAN=no
	session_open "$1" orders "$2" || cannot "VM $1 does not listen"
	if [ "${ANSWER%% *}" = READY ]; then
		ask "$SESSION" "WRITE item $2" &&
			[ "${LAST%% *}" = COMPLETE ] && RAN=yes
	fi
	session_close "$SESSION"
	note "VM $1 with $2: ran $RAN"
}

store_start
store_fault era 1
# The operator alone writes again what was lost.
store_fault rewrite_ms 600000
group_start stock s $STOCK 3 0 0
put config main "$(spec 1)"
for n in 1 2 3; do
	vm_start vm$n e$n $n $STOCK
done
for n in 1 2 3; do
	vm_await $n
done
sleep 4
# The copy is of about this moment.  A VM is added; then comes version 2.
started=$EPOCHREALTIME
vm_start vm4 e1 4 $STOCK
vm_await 4
sleep 2
replace 2
sleep 1
for n in 1 2 3 4; do
	write_with $n key-of-2
	[ $RAN = yes ] || cannot "version 2 is not in force"
done
if [ "$TROUBLE" != 0 ]; then
	age_ms=$(((${EPOCHREALTIME/./} - ${started/./}) / 1000 + 200))
	[ $age_ms -le $COPY_AGE_MS ] || cannot "the copy would be too old"
	store_fault down 1
	store_fault drill $age_ms
	sleep 0.5
	store_fault down 0
	sleep "$DELAY_S"
	replace 2
fi
replace 3
broken=0
sleep $BOUND_S
for s in 1 5 5; do
	sleep $s
	for n in 1 2 3 4; do
		write_with $n key-of-2
		[ $RAN = no ] || broken=$((broken + 1))
		write_with $n key-of-3
		[ $RAN = yes ] || broken=$((broken + 1))
	done
done
[ $broken = 0 ] || verdict 1 "CONFIG broken: $broken of 24 requests were handled as version 2 allows, 16 to 26 s after version 3 was acknowledged"
verdict 0 "held: every request was handled as the newest version allows"
