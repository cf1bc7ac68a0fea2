#!/bin/bash
# Load through one daemon against the same load directly on the stand-in, the
# share of reads on replicas under lag, and memory of idle connections.
set -u
cd "$(dirname "$0")/.."
. tests/process/lib.bash
load="$BUILD/bench/load"
stand_up --lag-ms 0
echo "connect one 17001 bakery orders $KEY session=new
exec one INSERT INTO bench VALUES ('a', '0')" | steps >/dev/null
ctl plan set gold 9000 10000000 10000000 >/dev/null
await_status 1 '"session_cap": 3000'
rss() { sed -n 's/^VmRSS:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$PID_a1/status"; }
rest="--workspace bakery --service orders --key $KEY --seconds ${SECONDS_EACH:-3}"
for n in 10 100 1000; do
	before=$(rss)
	$load --port 17001 $rest --seconds 3 --connections $n --rate 10 >/dev/null 2>&1 &
	holder=$!
	read -r -t 1.5 _ <>"$STAND/pause"
	echo "$n idle connections: rss_kb $before to $(rss)"
	wait $holder
done
for n in ${CONNECTIONS-10 100 1000}; do
	for mode in read write; do
		echo "direct $mode: $($load --port 17401 $rest --mode $mode --connections $n)"
		echo "daemon $mode: $($load --port 17001 $rest --mode $mode --connections $n --options '-c kumquatloft.session=new')"
	done
done
for lag in ${LAGS-0 50 500}; do
	for db in db2 db3; do fault $db lag_ms "$lag"; done
	for options in '-c kumquatloft.session=new' '' '-c kumquatloft.max_age=1s'; do
		r0=$(counter 1 kl_reads_replica_total)
		p0=$(counter 1 kl_reads_primary_total)
		out=$($load --port 17001 $rest --mode mix --connections 16 --rate 800 --options "$options")
		r1=$(counter 1 kl_reads_replica_total)
		p1=$(counter 1 kl_reads_primary_total)
		echo "lag $lag ms, options '$options': reads on replicas $(((r1 - r0) * 1000 / (r1 - r0 + p1 - p0))) per mille; $out"
	done
done
