# Guards against statements at a database that operators take out of service, by the
# PostgreSQL front end: a write without another primary, and what an open transaction
# still sends, later than leave_ms after the mark.
DAEMON_SETTINGS='leave_ms: 2500'
. "$(dirname "$0")/lib.bash"
pause() { # seconds
	read -t "$1" -r _ <>"$STAND/pause" || true
}
run_step() {
	send_step "$1"
	show_answer
}
# A SELECT that finds a row prints two lines.
run_read() {
	run_step "$1"
	[ "${answer#*: }" != "SELECT 1" ] || show_answer
}
stand_up --lag-ms 2
client_start
run_step "connect one 17001 bakery orders $KEY session=new"
run_step "connect two 17003 bakery orders $KEY session=new"
run_step "connect three 17002 bakery orders $KEY session=new"
run_step "exec one INSERT INTO jobs VALUES ('a', 'kept')"
run_step "exec two BEGIN"
run_step "exec two INSERT INTO jobs VALUES ('b', 'foil')"
run_step "exec three BEGIN"
run_step "exec three INSERT INTO jobs VALUES ('c', 'foil')"
echo "Nowhere is a database that does not leave."
for db in db2 db3 db1; do
	ctl mark leave upstream $db >/dev/null
done
run_step "exec three COMMIT"
pause 3
run_step "exec one INSERT INTO jobs VALUES ('d', 'foil')"
run_step "exec two INSERT INTO jobs VALUES ('e', 'foil')"
run_step "exec two COMMIT"
run_step "exec two BEGIN"
run_step "exec one SELECT v FROM jobs WHERE k = 'a'"
echo "They return."
for db in db1 db2 db3; do
	ctl mark return upstream $db >/dev/null
done
run_step "writes one INSERT INTO jobs VALUES ('f', 'foil')"
for key in a b c d e f; do
	run_read "exec one SELECT v FROM jobs WHERE k = '$key'"
done
client_stop
