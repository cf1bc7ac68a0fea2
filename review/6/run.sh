#!/bin/bash
# A key is taken away from a tenant that has many keys.  The second VM of a zone
# never learns of it, nor of any later version.
[ -n "${BASH_VERSION:-}" ] || exec bash "$0" "$@"
. "$(dirname "$0")/../standins-2/stand.bash"

: "${KEYS:=1000}" # of the tenant, 20 characters each
APPLY_S=3	  # configApplyMs
STOCK=8500

key() {
	printf 'k%05d-abcdefghijkl' "$1"
}

# A configuration whose tenant has the keys from the first number on.
config() { # version, first key
	local keys= i
	for ((i = $2; i < $2 + KEYS; i++)); do
		keys=$keys,\"$(key $i)\"
	done
	put config main "{\"configVersion\":$1,\"routes\":[{\"name\":\"r1\",\"database\":\"orders\",\"routeType\":\"primary\",\"timeoutMs\":1000,\"targetLatencyMs\":200,\"priority\":1,\"service\":\"stock\",\"public\":false}],\"services\":[{\"name\":\"stock\",\"maxConns\":32,\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000},\"tenants\":[{\"name\":\"bakery\",\"apiKeys\":[${keys#,}],\"ratePerS\":500,\"burst\":500}]}"
	note "version $1 is acknowledged, $(stat -c %s "$STAND/put") bytes"
}

# Writes with a key at a VM; the write's data tells when.
write_with() { # number of the VM, key, data
	session_open "$1" orders "$2" || cannot "VM $1 does not listen"
	RAN=no
	if [ "${ANSWER%% *}" = READY ]; then
		ask "$SESSION" "WRITE item $3" && [ "${LAST%% *}" = COMPLETE ] &&
			RAN=yes
	fi
	session_close "$SESSION"
	note "VM $1 with key $2: ran $RAN"
}

store_start
group_start stock s $STOCK 3 0 0
config 1 0
vm_start front-e1-1 e1 1 $STOCK
vm_start front-e1-2 e1 2 $STOCK
vm_await 1
vm_await 2
sleep 2
for vm in 1 2; do
	write_with $vm "$(key 0)" before
	[ $RAN = yes ] || cannot "a key that is valid was refused"
done
if [ "$TROUBLE" != 0 ]; then
	config 2 1
	old=$(key 0)
	new=$(key "$KEYS")
else
	old=none
	new=$(key 0)
fi
broken=0
for s in $((2 * APPLY_S)) 8 8; do
	sleep $s
	for vm in 1 2; do
		write_with $vm "$old" withdrawn
		[ $RAN = no ] || broken=$((broken + 1))
		write_with $vm "$new" valid
		[ $RAN = yes ] || broken=$((broken + 1))
	done
done
[ $broken = 0 ] || verdict 1 "CONFIG broken: $broken of 12 requests were handled as version 1 allows, 6 to 22 s after version 2 was acknowledged"
verdict 0 "held: every request was handled as the newest version allows"
