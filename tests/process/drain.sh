# Guards against a planned stop that cuts off requests.  On SIGTERM a long
# statement and an open transaction must finish, idle connections must end with
# an error, and the other VMs must take over the slots of the stopped one.
. "$(dirname "$0")/lib.bash"
stand_up --lag-ms 2 --exec-us 400000
client_start
send_step "connect idle 17001 bakery orders $KEY session=new"; show_answer
send_step "connect long 17001 bakery orders $KEY session=new"; show_answer
send_step "connect open 17001 bakery orders $KEY session=new"; show_answer
send_step "exec open BEGIN"; show_answer
send_step "exec open INSERT INTO stock VALUES ('tips', '1')"; show_answer
send_step "send long INSERT INTO stock VALUES ('foil', '2')"; show_answer
# The stop must come after the statement, which is the second one routed.
until [ "$(counter 1 kl_writes_total)" = 2 ]; do
	read -t 0.01 -r _ <>"$STAND/pause" || true
done
kill -TERM "$PID_a1"
await_status 1 '"phase": "draining"'
send_step "wait long"; show_answer
# Keeps the transaction open for longer than the handover of the slots takes.
read -t 2.5 -r _ <>"$STAND/pause"
send_step "exec open COMMIT"; show_answer
send_step "fails idle 57P01 SELECT v FROM stock WHERE k = 'tips'"; show_answer
send_step "fails open 57P01 SELECT v FROM stock WHERE k = 'tips'"; show_answer
wait "$PID_a1"
echo "exit status $?"
send_step "connect idle 17002 bakery orders $KEY session=new"; show_answer
send_step "exec idle SELECT count(*) FROM stock"; show_answer; show_answer
client_stop
register_vm a1 d1 1 gone
await_status 2 '"slots": 12'
await_status 3 '"slots": 12' && echo "parts handed over"
