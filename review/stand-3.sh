# Functions of the cases 11 to 15: they start the daemons as the deploy file
# does, with settings from its template, on loopback addresses of their own.
# shellcheck shell=bash
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
TROUBLE=${TROUBLE:-1}
PROGRAMS=target/review-3
FOLDER=$(mktemp -d)
NET=127.$((100 + RANDOM % 100)).$((RANDOM % 250)) # addresses of this run
STORE_HOST=$NET.250
STORE_PORT=7300
STORE=$STORE_HOST:$STORE_PORT
RELAY_PORT=7400 # of machine 0; the next ones follow
PIDS=

# Ends the processes of this run by their ids.
clean_up() {
	for pid in $PIDS; do
		kill "$pid" 2>/dev/null
	done
	sleep 0.3
	for pid in $PIDS; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$FOLDER"
}
trap clean_up EXIT

# Starts the store, the endpoint of promotions and three databases.
start_store() {
	"$PROGRAMS/kl-standin-line" $STORE_PORT 0 $STORE_HOST \
		>"$FOLDER/store.log" 2>&1 &
	PIDS="$PIDS $!"
	sleep 0.5
}

# Starts a relay between each machine and the store.
start_relay() { # number of machines
	mkfifo "$FOLDER/relay"
	"$PROGRAMS/relay" $STORE_HOST $RELAY_PORT "$1" $STORE_PORT \
		<>"$FOLDER/relay" >"$FOLDER/relay.log" 2>&1 &
	PIDS="$PIDS $!"
	sleep 0.3
}

# Writes the settings of a machine and starts its daemon.
start_machine() { # number from 0, name, zone, address of the store
	local ip=$NET.$(($1 + 1))
	sed -e "s/{{node}}/$2/; s/{{zone}}/$3/; s/{{ip}}/$ip/" \
		-e "s/{{listenAddrs.front}}/$ip:8465/" \
		-e "s/{{listenAddrs.ready}}/$ip:8460/" \
		-e "s/{{portRange.0}}/7560/" \
		-e "s/{{platform.address}}/$4/" \
		-e "s/{{cloudApi.address}}/$STORE/" \
		-e "s/{{cloudApi.duties}}/failover/" \
		deploy/kumquatloft.yaml.template >"$FOLDER/$2.yaml"
	KUMQUATLOFT_CONFIG=$FOLDER/$2.yaml target/kumquatloftd \
		--set leave_ms=5000 --set usage_window_s= \
		--set usage_delay_s= --set priority_queues= \
		--set position_wait_ms= >"$FOLDER/$2.log" 2>&1 &
	PIDS="$PIDS $!"
	eval "PID_$1=$!"
}
