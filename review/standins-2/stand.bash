# Starts daemons and stand-ins for one case on loopback addresses, and ends them
# by their ids; sourced by the scripts run.sh.  Every VM has an address of its
# own, as in the deploy file.
# shellcheck shell=bash
: "${TROUBLE:=1}"
CASE=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
RECORD=$CASE/record.txt
STAND=$(mktemp -d) || exit 2
PIDS=()
FRONT_PORT=8465
READY_PORT=8460
STORE_PORT=8466
NUMBER=0 # of the last statement

stand_end() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill "$pid" 2>/dev/null
	done
	for pid in "${PIDS[@]}"; do
		wait "$pid" 2>/dev/null
	done
	rm -rf "$STAND"
	[ -z "${RESERVED:-}" ] || rmdir "$RESERVED"
}
trap stand_end EXIT

# Addresses 127.44.N.* are reserved by a folder, so that runs do not meet.
for ((n = $$ % 250; n < 500; n++)); do
	NET=127.44.$((n % 250))
	RESERVED=${TMPDIR:-/tmp}/kumquatloft-case-$NET
	mkdir "$RESERVED" 2>/dev/null && break
	RESERVED=
done
[ -n "${RESERVED:-}" ] || exit 2
STORE=$NET.200
GROUP=$NET.210
: >"$RECORD"

note() {
	echo "${EPOCHREALTIME:0:14} $*" >>"$RECORD"
}

# The case could not run.
cannot() {
	echo "could not run: $*"
	note "could not run: $*"
	exit 2
}

# Ends the case.
verdict() { # 0 or 1, text
	note "verdict $1: $2"
	echo "$2"
	exit "$1"
}

store_start() {
	target/build/kl-standin-line $STORE_PORT 0 "$STORE" \
		>"$STAND/store.ready" 2>"$STAND/store.err" &
	PIDS+=($!)
	await "the store" grep -q ready "$STAND/store.ready"
}

# Creates an object in the store, or replaces it.
put() { # kind, name, specification
	local url=http://$STORE:$STORE_PORT/-/objects/$1
	printf '{"meta":{"name":"%s"},"spec":%s}' "$2" "$3" >"$STAND/put"
	curl -sf -X POST --data-binary "@$STAND/put" "$url" >/dev/null ||
		curl -sf -X PUT --data-binary "@$STAND/put" "$url/$2" \
			>/dev/null || cannot "the store refused $1/$2"
	note "operator put $1/$2 ${3:0:100}"
}

# Replaces an object of the store, or creates it, with one call.
replace() { # kind, name, specification
	local url=http://$STORE:$STORE_PORT/-/objects/$1 method=PUT
	printf '{"meta":{"name":"%s"},"spec":%s}' "$2" "$3" >"$STAND/put"
	grep -qx "$1/$2" "$STAND/objects" 2>/dev/null || method=POST
	[ $method = PUT ] && url+=/$2
	curl -sf -X $method --data-binary "@$STAND/put" "$url" >/dev/null ||
		cannot "the store refused $1/$2"
	echo "$1/$2" >>"$STAND/objects"
	note "operator put $1/$2 ${3:0:100}"
}

# Starts the databases of a service; the first one is its primary.
group_start() { # service, prefix, port, count, sync, work ms
	local i role
	target/review-2/group "$1" "$2" "$GROUP" "$3" "$4" "$5" "$6" \
		"$RECORD" 2>>"$STAND/group.err" &
	PIDS+=($!)
	await "group $1" curl -s -o /dev/null "http://$GROUP:$3/"
	for ((i = 1; i <= $4; i++)); do
		role=$([ $i = 1 ] && echo primary || echo replica)
		put servers "$2$i" "{\"service\":\"$1\",\"address\":\"$GROUP:$(($3 + i))\",\"zone\":\"e$i\",\"configVersion\":\"v1\",\"slots\":5,\"state\":\"ready\",\"warmupLeftMs\":0,\"dbRole\":\"$role\",\"sequence\":1}"
	done
}

fault() { # port, database, name, value
	curl -sf "http://$GROUP:$1/fault?db=$2&name=$3&value=$4" >/dev/null ||
		cannot "fault $2 $3"
}

# Starts a VM with the command and the settings of the deploy file.
vm_start() { # name, domain, number, port of the promoter
	local ip=$NET.$3
	sed -e "s/{{node}}/$1/; s/{{zone}}/$2/; s/{{ip}}/$ip/" \
		-e "s/{{listenAddrs.front}}/$ip:$FRONT_PORT/" \
		-e "s/{{listenAddrs.ready}}/$ip:$READY_PORT/" \
		-e "s/{{portRange.0}}/7560/" \
		-e "s/{{platform.address}}/$STORE:$STORE_PORT/" \
		-e "s/{{cloudApi.address}}/$GROUP:${4:-9}/" \
		-e "s/{{cloudApi.duties}}/failover/" \
		deploy/kumquatloft.yaml.template >"$STAND/$1.yaml"
	KUMQUATLOFT_CONFIG=$STAND/$1.yaml target/kumquatloftd \
		--set leave_ms=5000 --set usage_window_s= \
		--set usage_delay_s= --set priority_queues= \
		--set position_wait_ms= >>"$STAND/$1.log" 2>&1 &
	VM_PID=$!
	PIDS+=($VM_PID)
	note "VM $1 started in $2"
}

status() { # number of the VM
	curl -sf "http://$NET.$1:9432/status"
}

# Waits until the balancer of the platform would send clients to the VM.
vm_await() { # number, number of services whose primary is known
	await "VM $1" vm_is_ready "$1" "${2:-1}"
}

vm_is_ready() {
	curl -sf "http://$NET.$1:$READY_PORT/-/ready" >/dev/null &&
		[ "$(status "$1" | grep -c '"state": "stable"')" -ge "$2" ]
}

await() { # what, command
	local what=$1 tries=300
	shift
	until "$@" 2>/dev/null; do
		tries=$((tries - 1))
		[ $tries != 0 ] || cannot "$what is not ready"
		sleep 0.05
	done
}

# Opens a session; its descriptor is in SESSION, the answer in ANSWER.
session_open() { # number of the VM, database, key
	exec {SESSION}<>"/dev/tcp/$NET.$1/$FRONT_PORT" || return 1
	printf 'STARTUP %s %s\r\n' "$2" "$3" >&"$SESSION"
	ANSWER=
	read -t 5 -r ANSWER <&"$SESSION"
	ANSWER=${ANSWER%$'\r'}
	note "client $SESSION STARTUP $2 at VM $1: ${ANSWER:-no answer}"
}

session_close() { # descriptor
	local fd=$1
	exec {fd}>&-
}

# Sends a statement and waits for its answer.  ANSWER is the first line, which
# may be a row, LAST the line before READY.  Returns 1 if there is none.
ask() { # descriptor, statement
	local line
	NUMBER=$((NUMBER + 1))
	printf 'QUERY %s.%s %s\r\n' "$1" "$NUMBER" "$2" >&"$1" || return 1
	note "client $1 sent $1.$NUMBER $2"
	ANSWER=
	LAST=
	while read -t 6 -r line <&"$1"; do
		line=${line%$'\r'}
		ANSWER=${ANSWER:-$line}
		if [ "${line%% *}" = READY ]; then
			note "client $1 got $1.$NUMBER: $ANSWER | $LAST | $line"
			return 0
		fi
		LAST=$line
	done
	note "client $1 got no whole answer to $1.$NUMBER: ${ANSWER:-nothing}"
	return 1
}
