# Guards against a client receiving the answer to another statement.  A database
# answers after the statement's deadline, and then the open connections to all
# databases go silent while new ones work: each client must get the complete
# answer to its own statement, or an error.
DAEMON_SETTINGS='statement_ms: 2000
silent_ms: 500'
. "$(dirname "$0")/lib.bash"
stand_up --lag-ms 2
steps <<EOF
connect one 17001 bakery orders $KEY session=new
exec one INSERT INTO jobs VALUES ('a', 'foil')
exec one INSERT INTO jobs VALUES ('b', 'emboss')
EOF
echo "an answer that comes after the deadline goes to nobody:"
fault db1 late_ms 3000
steps <<EOF
connect one 17001 bakery orders $KEY
exec one UPDATE jobs SET v = 'gold' WHERE k = 'a'
connect one 17001 bakery orders $KEY
exec one SELECT v FROM jobs WHERE k = 'b'
exec one SELECT v FROM jobs WHERE k = 'a'
EOF
echo "connections that went silent, while new ones work:"
for db in db1 db2 db3; do fault $db silent 1; done
steps <<EOF
connect one 17001 bakery orders $KEY session=new
exec one SELECT v FROM jobs WHERE k = 'b'
exec one SELECT v FROM jobs WHERE k = 'a'
connect two 17002 bakery orders $KEY
exec two SELECT v FROM jobs WHERE k = 'b'
EOF
