#!/bin/bash
# Three machines in three zones; all are killed and started again.
. "$(dirname "$0")/../stand-3.sh"
record=${RECORD:-$PWD/review/14/record.txt}
: >"$record"
start_store
curl -sf "http://$STORE/standin/fault?db=store&name=era&value=1" || exit 2
start_all() {
	start_machine 0 front-cork-a-1 cork-a "$STORE"
	start_machine 1 front-cork-b-1 cork-b "$STORE"
	start_machine 2 front-limerick-a-1 limerick-a "$STORE"
}
start_all
status=2
while read -r word value; do
	case $word in
	kill) kill -KILL "$PID_0" "$PID_1" "$PID_2" ;;
	start) start_all ;;
	end) status=$value ;;
	esac
done < <("$PROGRAMS/drill" "$STORE" "$record" "$TROUBLE" \
	"$NET.1:8465" "$NET.3:8465")
exit "$status"
