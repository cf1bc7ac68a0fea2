#!/bin/bash
# One workspace sends five times its rate; how is another one served that
# stays inside its own?  The stand-in has five slots of 2 ms each.
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
quiet() {
	$load --port 17001 --workspace press --service orders --key "$PRESS_KEY" \
		--mode read --options '-c kumquatloft.session=new' \
		--connections 8 --rate 160 --seconds 5
}
echo "alone: $(quiet)"
for port in 17001 17002 17003; do
	$load --port $port --workspace bakery --service orders --key "$KEY" \
		--mode read --options '-c kumquatloft.session=new' \
		--connections 25 --rate 1000 --seconds 6 >"$STAND/hot.$port" 2>&1 &
	loads="${loads:-} $!"
done
echo "beside: $(quiet)"
# shellcheck disable=SC2086
wait $loads
cat "$STAND"/hot.* | sed 's/^/neighbour: /'
