#!/bin/bash
# Memory of idle connections; throughput and latency through one daemon and
# directly at the database stand-in; share of reads on replicas that lag.
set -u
cd "$(dirname "$0")/.."
. tests/process/lib.bash
load="$BUILD/bench/load"
stand_up --lag-ms 0
echo "connect one 17001 bakery orders $KEY session=new
exec one INSERT INTO bench VALUES ('a', '0')" | steps >/dev/null
ctl plan set gold 9000 10000000 10000000 >/dev/null
await_status 1 '"session_cap": 3000'
rss_kb() { sed -n 's/^VmRSS:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$PID_a1/status"; }
common_options="--workspace bakery --service orders --key $KEY --seconds ${SECONDS_EACH:-3}"
for n in 10 100 1000; do
	before=$(rss_kb)
	$load --port 17001 $common_options --seconds 3 --connections $n --rate 10 >/dev/null 2>&1 &
	idle_pid=$!
	read -r -t 1.5 _ <>"$STAND/pause"
	echo "$n idle connections: rss_kb $before to $(rss_kb)"
	wait $idle_pid
done
for n in ${CONNECTIONS-10 100 1000}; do
	for mode in read write; do
		echo "direct $mode: $($load --port 17401 $common_options --mode $mode --connections $n)"
		echo "daemon $mode: $($load --port 17001 $common_options --mode $mode --connections $n --options '-c kumquatloft.session=new')"
	done
done
for lag in ${LAGS-0 50 500}; do
	for db in db2 db3; do fault $db lag_ms "$lag"; done
	for options in '-c kumquatloft.session=new' '' '-c kumquatloft.max_age=1s'; do
		replica_before=$(counter 1 kl_reads_replica_total)
		primary_before=$(counter 1 kl_reads_primary_total)
		out=$($load --port 17001 $common_options --mode mix --connections 16 --rate 800 --options "$options")
		replica_after=$(counter 1 kl_reads_replica_total)
		primary_after=$(counter 1 kl_reads_primary_total)
		echo "lag $lag ms, options '$options': reads on replicas $(((replica_after - replica_before) * 1000 / (replica_after - replica_before + primary_after - primary_before))) per mille; $out"
	done
done
