#!/bin/bash
# Throughput and latency of a workspace within its rate, alone and while another
# workspace sends five times its own rate.  A statement takes the database
# stand-in 2 ms, and it runs five at a time.
set -u
cd "$(dirname "$0")/.."
. tests/process/lib.bash
load="$BUILD/bench/load"
stand_up --lag-ms 5 --exec-us 2000
echo "connect one 17001 bakery orders $KEY session=new
exec one INSERT INTO bench VALUES ('a', '0')" | steps >/dev/null
ctl plan set gold 90 600 120 >/dev/null
ctl plan set small 90 200 60 >/dev/null
ctl workspace add press small >/dev/null
await_status 1 '"press"'
measure_press() {
	$load --port 17001 --workspace press --service orders --key "$PRESS_KEY" \
		--mode read --options '-c kumquatloft.session=new' \
		--connections 8 --rate 160 --seconds 5
}
echo "alone: $(measure_press)"
for port in 17001 17002 17003; do
	$load --port $port --workspace bakery --service orders --key "$KEY" \
		--mode read --options '-c kumquatloft.session=new' \
		--connections 25 --rate 1000 --seconds 6 >"$STAND/overload.$port" 2>&1 &
	overload_pids="${overload_pids:-} $!"
done
echo "next to the other: $(measure_press)"
# shellcheck disable=SC2086
wait $overload_pids
cat "$STAND"/overload.* | sed 's/^/workspace over its rate: /'
