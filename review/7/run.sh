#!/bin/bash
# A session writes, its route is moved to another service and back, and its next
# read misses the write.
[ -n "${BASH_VERSION:-}" ] || exec bash "$0" "$@"
. "$(dirname "$0")/../standins-2/stand.bash"

STOCK=8500
OTHER=8600
: "${LAG_ONLY:=0}" # 1: without the two versions
: "${LAG_MS:=}"	 # if set, the replicas are only so late, not cut off
: "${GAP_S:=0.3}" # after each of the two versions

# Routes "counter" (of the session) and "orders" (of other clients).
config() { # version, service of the route "counter"
	replace config main "{\"configVersion\":$1,\"routes\":[{\"name\":\"r1\",\"database\":\"counter\",\"routeType\":\"read_your_writes\",\"timeoutMs\":1000,\"targetLatencyMs\":400,\"priority\":2,\"service\":\"$2\",\"maxStalenessMs\":2500,\"public\":false},{\"name\":\"r2\",\"database\":\"orders\",\"routeType\":\"primary\",\"timeoutMs\":1000,\"targetLatencyMs\":200,\"priority\":1,\"service\":\"stock\",\"public\":false}],\"services\":[{\"name\":\"stock\",\"maxConns\":32,\"syncReplicas\":0},{\"name\":\"other\",\"maxConns\":32,\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000},\"tenants\":[{\"name\":\"bakery\",\"apiKeys\":[\"key-one\"],\"ratePerS\":500,\"burst\":500}]}"
}

# Whether the write is committed at the databases of a service.
ran_at() { # prefix of the databases, statement
	ask "$session" "WRITE $2" && [ "${LAST%% *}" = COMPLETE ] &&
		[[ $LAST == "COMPLETE $1"* ]]
}

await_route() { # prefix of the databases, item
	local i
	for ((i = 0; i < 100; i++)); do
		ran_at "$1" "$2 moved" && return 0
	done
	cannot "the route was not moved"
}

store_start
group_start stock s $STOCK 3 0 0
group_start other o $OTHER 1 0 0
config 1 stock
vm_start a1 e2 1 $STOCK
vm_start b1 e3 2 $STOCK
vm_await 1 2
vm_await 2 2
sleep 2
session_open 1 orders key-one
orders=$SESSION
session_open 1 counter key-one
session=$SESSION

# Other clients use the primary, as in a usual second.
for i in 1 2 3 4 5 6 7 8; do
	ask "$orders" "WRITE order$i placed" || cannot "a write failed"
	sleep 0.1
done
if [ -n "$LAG_MS" ]; then
	fault $STOCK s2 lag_ms "$LAG_MS"
	fault $STOCK s3 lag_ms "$LAG_MS"
elif [ "$TROUBLE" != 0 ]; then
	# The replicas receive nothing for less than 3 s.
	fault $STOCK s2 deaf 1
	fault $STOCK s3 deaf 1
fi
ran_at s "lustre sold" || cannot "the session's write failed"
if [ "$TROUBLE" != 0 ] && [ "$LAG_ONLY" = 0 ]; then
	config 2 other
	await_route o gold
	sleep "$GAP_S"
	config 3 stock
	sleep "$GAP_S"
fi
ask "$session" "READ lustre" || cannot "the read failed"
row=$ANSWER
fault $STOCK s2 deaf 0
fault $STOCK s3 deaf 0
case $row in
"ROW sold") verdict 0 "held: the session read its own write" ;;
"ROW none") verdict 1 "STALE broken: the session's read misses its own write" ;;
*) cannot "the read was answered with: $row" ;;
esac
