# Guards against false outcomes and repeated writes when a primary dies.  It dies
# before or after it ran a statement: the reported outcome must be true, and only
# a statement marked as repeatable may be sent again.
. "$(dirname "$0")/lib.bash"
stand_up --lag-ms 2
steps <<EOF
connect one 17001 bakery orders $KEY session=new
exec one INSERT INTO tickets VALUES ('count', '0')
EOF
echo "the database dies before a write runs:"
fault db1 die_before 1
steps <<EOF
connect one 17001 bakery orders $KEY
exec one UPDATE tickets SET v = v + 1 WHERE k = 'count'
connect one 17001 bakery orders $KEY
exec one SELECT v FROM tickets WHERE k = 'count'
EOF
echo "the database dies after a write ran:"
fault db1 die_after 1
steps <<EOF
connect one 17001 bakery orders $KEY
exec one UPDATE tickets SET v = v + 1 WHERE k = 'count'
connect one 17001 bakery orders $KEY
exec one SELECT v FROM tickets WHERE k = 'count'
EOF
echo "the same at the end of a transaction:"
client_start
send_step "connect one 17001 bakery orders $KEY"; show_answer
send_step "exec one BEGIN"; show_answer
send_step "exec one UPDATE tickets SET v = v + 1 WHERE k = 'count'"; show_answer
fault db1 die_after 1
send_step "exec one COMMIT"; show_answer
send_step "exec one SELECT v FROM tickets WHERE k = 'count'"; show_answer; show_answer
client_stop
echo "marked as repeatable it is sent again, at least once:"
fault db1 die_before 1
steps <<EOF
connect one 17001 bakery orders $KEY repeatable=on
exec one UPDATE tickets SET v = '50' WHERE k = 'count'
connect one 17001 bakery orders $KEY
exec one SELECT v FROM tickets WHERE k = 'count'
EOF
echo "the primary is gone; writes go on:"
fault db1 cut 1
steps <<EOF
connect one 17002 bakery orders $KEY
writes one UPDATE tickets SET v = v + 1 WHERE k = 'count'
exec one SELECT v FROM tickets WHERE k = 'count'
connect two 17003 bakery orders $KEY session=@one
exec two SELECT v FROM tickets WHERE k = 'count'
EOF
daemon_status 3 | grep -E '"(term|primary|state)"' | head -3 | sed 's/ db[23]//; s/"db[23]"/"another"/'
echo "the old primary comes back as a replica:"
fault db1 cut 0
await_database "^db1 replica term 2"
database_state | sed -n 's/^\(db1 [a-z]* term [0-9]*\) .*/\1/p'
cat "$STAND/timing" >&2
