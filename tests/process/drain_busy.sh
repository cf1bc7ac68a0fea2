# Guards against a planned stop that never finds a busy session idle, and cuts
# off its statement at the end: the session sends the next statement as soon as
# the last one is answered.  It must end between two statements, with an error
# that says that the statement did not run.
DAEMON_SETTINGS="drain_ms: 1500"
. "$(dirname "$0")/lib.bash"
stand_up --lag-ms 2 --exec-us 20000
client_start
send_step "connect busy 17001 bakery orders $KEY session=new"; show_answer
kill -TERM "$PID_a1"
answer=
served=0
for ((i = 0; i < 300; i++)); do
	send_step "exec busy INSERT INTO stock VALUES ('k$i', '1')"
	read -r answer <&"${CLIENT[0]}"
	case $answer in
	*"INSERT 0 1"*) served=$((served + 1)) ;;
	*) break ;;
	esac
done
echo "$answer" | sed 's/k[0-9]*/k/'
wait "$PID_a1"
echo "exit status $?"
send_step "connect again 17002 bakery orders $KEY session=new"; show_answer
send_step "exec again SELECT count(*) FROM stock"
read -r answer <&"${CLIENT[0]}"
read -r answer <&"${CLIENT[0]}"
client_stop
echo "$served $answer" >>"$STAND/timing"
[ "${answer//[^0-9]/}" = "$served" ] && echo "as many rows as answers" ||
	echo "$served answers, but $answer"
