# Guards against a transaction that outlives its daemon, and against a false
# acknowledgement.  A daemon is killed in the middle of a transaction: none of it
# may be kept.  Another is frozen after it ran a write and before it answers,
# while the primary is replaced: it must report an unknown outcome.
DAEMON_SETTINGS='statement_ms: 6000'
. "$(dirname "$0")/lib.bash"
stand_up --lag-ms 2 --exec-us 200000
client_start
send_step "connect one 17001 bakery orders $KEY session=new"; show_answer
send_step "exec one INSERT INTO jobs VALUES ('die', 'foil')"; show_answer
echo "a daemon dies in the middle of a transaction:"
send_step "connect two 17003 bakery orders $KEY session=@one"; show_answer
send_step "exec two BEGIN"; show_answer
send_step "exec two INSERT INTO jobs VALUES ('ghost', '1')"; show_answer
kill -KILL "$PID_c1"
send_step "exec two COMMIT"; show_answer
send_step "connect two 17002 bakery orders $KEY session=@one"; show_answer
send_step "exec two SELECT v FROM jobs WHERE k = 'ghost'"; show_answer
send_step "exec two SELECT v FROM jobs WHERE k = 'die'"; show_answer; show_answer
daemon_start c1 d3 3 "$DAEMON_SETTINGS"
await_status 3 '"session_cap": 30' || exit 1
echo "a daemon is frozen between running a write and answering it:"
send_step "send one UPDATE jobs SET v = 'gold' WHERE k = 'die'"; show_answer
await_database "^db1 .* running 1 "
kill -STOP "$PID_a1"
await_database "^db1 .* position 2 running 0 "
fault db1 freeze 1
await_status 2 '"term": 2'
await_status 2 '"state": "stable"'
fault db1 freeze 0
await_database "^db1 replica term 2"
kill -CONT "$PID_a1"
send_step "wait one"; show_answer
send_step "connect one 17002 bakery orders $KEY session=new"; show_answer
send_step "writes one UPDATE jobs SET v = 'silver' WHERE k = 'die'"; show_answer
send_step "exec one SELECT v FROM jobs WHERE k = 'die'"; show_answer; show_answer
client_stop
