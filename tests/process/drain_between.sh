# Guards against a planned stop that ends a session right after an answer: its client
# reads both together, takes the error for a notice, and gets no answer to its next
# statement, so that it can't know that it has not run. The clients read each answer
# 35 ms late.
DAEMON_SETTINGS=$'drain_ms: 2000\ntransaction_grace_ms: 800'
. "$(dirname "$0")/lib.bash"
stand_up --lag-ms 2 --exec-us 1000
client_start
for name in a b c d; do
	send_step "connect $name 17001 bakery orders $KEY session=new"; show_answer
	send_step "exec $name BEGIN"; show_answer
done
kill -TERM "$PID_a1"
declare -A ended=([-]=-)
for ((i = 0; i < 300; i++)); do
	for name in a b c d; do
		[ -z "${ended[$name]:-}" ] || continue
		send_step "send $name INSERT INTO stock VALUES ('$name$i', '1')"
		read -r _ <&"${CLIENT[0]}"
	done
	read -t 0.035 -r _ <>"$STAND/pause"
	for name in a b c d; do
		[ -z "${ended[$name]:-}" ] || continue
		send_step "wait $name"
		read -r answer <&"${CLIENT[0]}"
		[[ $answer == *"INSERT 0 1"* ]] || ended[$name]=$answer
	done
	[ ${#ended[@]} -lt 5 ] || break
done
for name in a b c d; do
	echo "${ended[$name]}"
done
wait "$PID_a1"
echo "exit status $?"
client_stop
