#!/bin/bash
# Guards against a database of an evacuated domain that is used for too long by a VM that
# learns of the evacuation late: all watches of the store are silent, or the VM was down.
# There is no other database that could become primary.
. "$(dirname "$0")/evacuation.bash"

# Writes every 50 ms, whatever the answers are; connects again if the VM is down.
writer() { # number of the daemon, seconds
	local end=$((SECONDS + $2))
	while [ $SECONDS -lt $end ]; do
		if session 7 "$1" orders 2>/dev/null; then
			while [ $SECONDS -lt $end ] &&
				[ -n "$(ask 7 'WRITE a b')" ]; do
				pause 0.05
			done
		fi
		pause 0.05
	done 2>/dev/null
}

writers() { # seconds
	writer 2 "$1" >/dev/null 2>&1 &
	first=$!
	writer 3 "$1" >/dev/null 2>&1 &
	wait $first $!
}

evacuation_stand_up
evacuate e2
evacuate e3
pause 0.3

echo "The watches of all VMs are silent."
line_fault store silent 1
evacuate e1
writers 9
late
take_back e1
session 5 2 orders
echo "write: $(write_until_served 5 40)"

echo "A VM is down."
kill -9 "$PID_a2"
pause 0.1
evacuate e1
pause 2.6
line_daemon_start a2 d1 2
writers 7
late
take_back e1
session 5 2 orders
echo "write: $(write_until_served 5 40)"

echo "A VM is frozen, and the store drops its history."
kill -STOP "$PID_a2"
evacuate e1
line_fault store compact 1
pause 2.6
kill -CONT "$PID_a2"
writers 7
late
