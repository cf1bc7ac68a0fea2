# Starts and stops daemons and stand-ins on this machine; sourced by the demo
# and the process tests.  Every process is signalled by its id.
# shellcheck shell=sh
: "${BUILD:=build}"
STAND=$(mktemp -d) # folder of settings, logs and pipes
# Loopback address of this run, so that runs do not meet each other's processes.
# A folder of its name reserves it; the programs of tests/ and bench/ read it.
STAND_HOST=
number=$$
while [ -z "$STAND_HOST" ]; do
	number=$((number + 1))
	STAND_HOST=127.3.$((number / 250 % 250)).$((number % 250 + 1))
	if ! mkdir "${TMPDIR:-/tmp}/kumquatloft-$STAND_HOST" 2>/dev/null; then
		if [ $number -gt $(($$ + 1000)) ]; then
			echo "no loopback address is free for this run" >&2
			exit 1
		fi
		STAND_HOST=
	fi
done
export STAND_HOST
PIDS=
PLATFORM_PORT=17300
PLATFORM=http://$STAND_HOST:$PLATFORM_PORT
DATABASE_ADMIN_PORT=17490

# Stops every process and waits for it.
stop_processes() {
	for pid in $PIDS; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in $PIDS; do
		wait "$pid" 2>/dev/null || true
	done
	PIDS=
}

# Stops every process, removes the folder of the logs and frees the address.
stand_clean_up() {
	stop_processes
	rm -rf "$STAND"
	rmdir "${TMPDIR:-/tmp}/kumquatloft-$STAND_HOST"
}

# Starts a stand-in and waits until it prints that it is ready.
standin_start() { # name, program, arguments
	name=$1
	shift
	mkfifo "$STAND/$name.ready"
	"$@" >"$STAND/$name.ready" 2>"$STAND/$name.err" &
	PIDS="$PIDS $!"
	eval "PID_$name=$!"
	read -r _ <"$STAND/$name.ready"
	cat "$STAND/$name.ready" >/dev/null 2>&1 &
}

platform_start() {
	standin_start platform "$BUILD/kl-standin-platform" \
		--host "$STAND_HOST" --port $PLATFORM_PORT
}

# Starts three databases in the domains d1, d2 and d3 as the service "orders".
database_start() { # further options of the stand-in
	standin_start database "$BUILD/kl-standin-database" \
		--host "$STAND_HOST" --names db1,db2,db3 \
		--port 17401 --admin $DATABASE_ADMIN_PORT "$@"
	cat >"$STAND/orders.json" <<JSON
{"upstreams":[
 {"name":"db1","host":"$STAND_HOST","port":17401,"domain":"d1"},
 {"name":"db2","host":"$STAND_HOST","port":17402,"domain":"d2"},
 {"name":"db3","host":"$STAND_HOST","port":17403,"domain":"d3"}],
 "connections":30}
JSON
	ctl service set orders "$STAND/orders.json" >/dev/null
}

ctl() {
	"$BUILD/kumquatctl" --platform "$PLATFORM" "$@"
}

fault() { # db, name, value
	curl -sf "http://$STAND_HOST:$DATABASE_ADMIN_PORT/fault?db=$1&name=$2&value=$3"
}

platform_fault() { # name, value
	curl -sf "$PLATFORM/standin/fault?name=$1&value=$2" >/dev/null
}

database_state() {
	curl -sf "http://$STAND_HOST:$DATABASE_ADMIN_PORT/state"
}

# Writes the registry entry of a VM; the state is "live" or "gone".
register_vm() { # vm, domain, number, state
	curl -sf "$PLATFORM/standin/vm?name=$1&domain=$2&host=$STAND_HOST&port=$((17100 + $3))&state=$4" >/dev/null
}

# Starts a daemon on ports 1700N (clients), 1710N (peers) and 1720N (status).
daemon_start() { # vm, domain, number [further settings lines]
	cat >"$STAND/$1.yaml" <<YAML
vm: $1
domain: $2
host: $STAND_HOST
listen_port: $((17000 + $3))
peer_port: $((17100 + $3))
status_port: $((17200 + $3))
platform: $PLATFORM
${4:-}
YAML
	register_vm "$1" "$2" "$3" live
	"$BUILD/kumquatloftd" --settings "$STAND/$1.yaml" \
		>>"$STAND/$1.log" 2>&1 &
	PIDS="$PIDS $!"
	eval "PID_$1=$!"
}

# Starts the store of platform_format "objects" with three databases that use
# the line protocol.
LINE_PORT=17350
line_start() {
	standin_start line "$BUILD/kl-standin-line" $LINE_PORT 0 "$STAND_HOST"
}

# Creates an object in the store, or replaces it.
line_put() { # kind, name, specification
	curl -sf -X POST -d "{\"meta\":{\"name\":\"$2\"},\"spec\":$3}" \
		"http://$STAND_HOST:$LINE_PORT/-/objects/$1" >/dev/null ||
		curl -sf -X PUT -d "{\"meta\":{},\"spec\":$3}" \
			"http://$STAND_HOST:$LINE_PORT/-/objects/$1/$2" >/dev/null
}

line_fault() { # database or "store", name, value
	curl -sf "http://$STAND_HOST:$LINE_PORT/standin/fault?db=$1&name=$2&value=$3" >/dev/null
}

# Starts a daemon on ports 1700N (clients), 1710N (peers), 1720N (status) and
# 1740N (readiness).
line_daemon_start() { # vm, domain, number [further settings lines]
	cat >"$STAND/$1.yaml" <<YAML
vm: $1
domain: $2
host: $STAND_HOST
listen: $STAND_HOST:$((17000 + $3))
peer_port: $((17100 + $3))
status_port: $((17200 + $3))
ready: $STAND_HOST:$((17400 + $3))
front: line
platform: http://$STAND_HOST:$LINE_PORT
platform_format: objects
drain_ms: 3000
transaction_grace_ms: 1500
${4:-}
YAML
	"$BUILD/kumquatloftd" --settings "$STAND/$1.yaml" \
		>>"$STAND/$1.log" 2>&1 &
	PIDS="$PIDS $!"
	eval "PID_$1=$!"
}

daemon_status() { # number of the daemon
	curl -sf "http://$STAND_HOST:$((17200 + $1))/status"
}

# Waits until a line of a daemon's status matches the pattern.
await_status() { # number of the daemon, pattern
	tries=600
	while ! daemon_status "$1" 2>/dev/null | grep -q "$2"; do
		tries=$((tries - 1))
		if [ $tries = 0 ]; then
			echo "daemon $1 never showed $2" >&2
			daemon_status "$1" >&2 || true
			return 1
		fi
		read -t 0.05 -r _ <>"$STAND/pause" || true
	done
}

# Nothing writes to this pipe: a read with a timeout from it is a pause.
mkfifo "$STAND/pause"
