#!/bin/bash
# Guards against a withdrawn key that works at a VM which learns the configuration
# from its peers: the workspace has so many keys that no datagram holds them.  Guards
# too against a VM that starts without a configuration while the store is down.
. "$(dirname "$0")/lib.bash"

KEYS=1000

key() { # number
	printf 'k%05d-abcdefghijkl' "$1"
}

keys() { # first number
	local n list=
	for ((n = $1; n < $1 + KEYS; n++)); do
		list=$list,\"$(key $n)\"
	done
	echo "${list#,}"
}

line_start
line_put config main "$(line_configuration 1 "$(keys 0)" '')"
line_daemon_start a1 d1 1
line_daemon_start a2 d1 2
for n in 1 2; do
	await_status $n '"state": "stable"' || exit 1
	await_status $n '"phase": "serving"' || exit 1
done
sleep 1

echo "# a key is withdrawn, and one is added"
line_put config main "$(line_configuration 2 "$(keys 1)" '')"
for n in 1 2; do
	await_login $n orders "$(key 0)" ERROR
	login $n orders "$(key $KEYS)"
done

echo "# a VM starts that can't reach the store"
line_fault store down 1
line_daemon_start a3 d1 3 "peers: [{host: $STAND_HOST, port: 17101}]"
await_status 3 '"vm": "a3"' || exit 1
await_login 3 orders "$(key $KEYS)" READY
login 3 orders "$(key 0)"
line_fault store down 0

for n in 1 2; do
	echo "messages that were not sent: $(counter $n kl_peer_unsent_total)"
done
