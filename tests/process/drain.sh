# A planned stop under load cuts no request: a long statement and an open
# transaction end, idle callers are told, and the owned parts are handed over.
. "$(dirname "$0")/lib.bash"
stand_up --lag-ms 2 --exec-us 400000
caller_start
say "connect idle 17001 bakery orders $KEY session=new"; hear
say "connect long 17001 bakery orders $KEY session=new"; hear
say "connect open 17001 bakery orders $KEY session=new"; hear
say "exec open BEGIN"; hear
say "exec open INSERT INTO stock VALUES ('tips', '1')"; hear
say "send long INSERT INTO stock VALUES ('foil', '2')"; hear
kill -TERM "$PID_a1"
await_status 1 '"phase": "draining"'
say "wait long"; hear
# A transaction may take its time: longer than handing the parts over does.
read -t 2.5 -r _ <>"$STAND/pause"
say "exec open COMMIT"; hear
say "fails idle 57P01 SELECT v FROM stock WHERE k = 'tips'"; hear
say "fails open 57P01 SELECT v FROM stock WHERE k = 'tips'"; hear
wait "$PID_a1"
echo "exit status $?"
say "connect idle 17002 bakery orders $KEY session=new"; hear
say "exec idle SELECT count(*) FROM stock"; hear; hear
caller_end
vm_list a1 d1 1 gone
await_status 2 '"slots": 12'
await_status 3 '"slots": 12' && echo "parts handed over"
