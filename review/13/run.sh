#!/bin/bash
# Nine machines in three zones, as irazabal-estampa has.
. "$(dirname "$0")/../stand-3.sh"
record=${RECORD:-$PWD/review/13/record.txt}
: >"$record"
start_store
start_relay 9
number=0
fronts=()
for zone in cordon la-teja carrasco; do
	for i in 1 2 3; do
		start_machine $number "front-$zone-$i" "$zone" \
			"$STORE_HOST:$((RELAY_PORT + number))"
		first=
		[ $i != 1 ] || first=\*
		fronts+=("$NET.$((number + 1)):8465$first")
		number=$((number + 1))
	done
done
"$PROGRAMS/watch-cut" "$STORE" "$FOLDER/relay" "$record" "$TROUBLE" \
	"${fronts[@]}"
