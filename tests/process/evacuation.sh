#!/bin/bash
# Guards against statements at databases of an evacuated failure domain, later than 5 s
# after the store's acknowledgement: what counts is what the databases see.  A planned
# evacuation promotes a database elsewhere; without one, what only a database that leaves
# could run is refused as not run, and open transactions end with nothing kept.
. "$(dirname "$0")/evacuation.bash"

evacuation_stand_up
session 5 2 orders
session 6 3 orders
echo "write: $(write_until_served 5 30)"

echo "The domain of the primary is evacuated."
evacuate e1
pause 0.3
echo "write: $(write_until_served 5 40)"
await_status 2 '"primary": "i-db[23]"' || exit 1
late

echo "All are; a transaction is open."
echo "BEGIN: $(ask 6 BEGIN) WRITE: $(ask 6 'WRITE c d')"
evacuate e2
evacuate e3
pause 5.6
echo "WRITE: $(ask 6 'WRITE c e') COMMIT: $(ask 6 COMMIT)"
echo "write: $(ask 5 'WRITE a x')"
late

echo "They are taken back."
for domain in e1 e2 e3; do
	take_back $domain
done
pause 0.3
echo "write: $(write_until_served 5 40)"
session 7 1 stock
echo "read of the transaction: $(ask 7 'READ c')"
late
