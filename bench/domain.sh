#!/bin/bash
# Throughput and latency of clients on the VMs of other domains while a failure
# domain is marked as leaving and returns: d2 with a replica, then d1 with the
# primary.
set -u
cd "$(dirname "$0")/.."
. tests/process/lib.bash
load="$BUILD/bench/load"
stand_up --lag-ms 5 --exec-us 300
echo "connect one 17001 bakery orders $KEY session=new
exec one INSERT INTO bench VALUES ('a', '0')" | steps >/dev/null
clients() { # seconds, label of the output lines
	for port in 17002 17003; do
		[ "$port" = "${excluded_port:-}" ] && continue
		$load --port $port --workspace bakery --service orders \
			--key "$KEY" --mode mix --connections 8 --rate 300 \
			--options '-c kumquatloft.session=new' \
			--seconds "$1" 2>&1 | sed "s/^/$2 $port: /" &
		client_pids="${client_pids:-} $!"
	done
}
wait_for_clients() {
	# shellcheck disable=SC2086
	wait $client_pids
	client_pids=
}
clients 4 "all domains in service,"; wait_for_clients
excluded_port=17002
clients 8 "d2 leaves and returns,"
read -r -t 1 _ <>"$STAND/pause"
ctl mark leave domain d2 >/dev/null
await_status 2 '"phase": "draining"'
read -r -t 3 _ <>"$STAND/pause"
ctl mark return domain d2 >/dev/null
wait_for_clients
excluded_port=
clients 12 "d1 with the primary leaves and returns,"
read -r -t 1 _ <>"$STAND/pause"
ctl mark leave domain d1 >/dev/null
await_status 2 '"term": 2'
await_status 2 '"state": "stable"'
read -r -t 3 _ <>"$STAND/pause"
ctl mark return domain d1 >/dev/null
wait_for_clients
database_state
