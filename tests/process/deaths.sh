# A daemon dies in the middle of a transaction; another one is frozen between
# running a write and answering it, while the primary is replaced.
DAEMON_SETTINGS='statement_ms: 6000'
. "$(dirname "$0")/lib.bash"
stand_up --lag-ms 2 --exec-us 200000
caller_start
say "connect one 17001 bakery orders $KEY session=new"; hear
say "exec one INSERT INTO jobs VALUES ('die', 'foil')"; hear
echo "a daemon dies in the middle of a transaction:"
say "connect two 17003 bakery orders $KEY session=@one"; hear
say "exec two BEGIN"; hear
say "exec two INSERT INTO jobs VALUES ('ghost', '1')"; hear
kill -KILL "$PID_c1"
say "exec two COMMIT"; hear
say "connect two 17002 bakery orders $KEY session=@one"; hear
say "exec two SELECT v FROM jobs WHERE k = 'ghost'"; hear
say "exec two SELECT v FROM jobs WHERE k = 'die'"; hear; hear
daemon_start c1 d3 3 "$DAEMON_SETTINGS"
await_status 3 '"session_cap": 30' || exit 1
echo "a daemon is frozen between running a write and answering it:"
say "send one UPDATE jobs SET v = 'gold' WHERE k = 'die'"; hear
await_database "^db1 .* running 1 "
kill -STOP "$PID_a1"
await_database "^db1 .* position 2 running 0 "
fault db1 freeze 1
await_status 2 '"term": 2'
await_status 2 '"state": "stable"'
fault db1 freeze 0
await_database "^db1 replica term 2"
kill -CONT "$PID_a1"
say "wait one"; hear
say "connect one 17002 bakery orders $KEY session=new"; hear
say "writes one UPDATE jobs SET v = 'silver' WHERE k = 'die'"; hear
say "exec one SELECT v FROM jobs WHERE k = 'die'"; hear; hear
caller_end
