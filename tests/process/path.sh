# Guards against failures on the path of a request: transactions, parameters,
# statements that must be refused, and malformed messages.  Also checks that
# workspaces and connections don't see each other's state, and that no key
# reaches a database or a log.
. "$(dirname "$0")/lib.bash"
CAPTURE="$(mktemp)"
stand_up --lag-ms 5 --capture "$CAPTURE"
steps <<EOF
connect one 17001 bakery orders $KEY session=new
exec one INSERT INTO stock VALUES ('lustre', '5')
exec one SHOW kumquatloft.max_age
exec one SET kumquatloft.max_age = '2s'
exec one SHOW kumquatloft.max_age
exec one SET kumquatloft.max_age = 'soon'
exec one SET kumquatloft.max_age = '0'
connect two 17002 bakery orders $KEY session=@one
exec two SELECT v FROM stock WHERE k = 'lustre'
exec one BEGIN
exec one UPDATE stock SET v = '4' WHERE k = 'lustre'
exec one SELECT v FROM stock WHERE k = 'lustre'
exec two SELECT v FROM stock WHERE k = 'lustre'
exec one COMMIT
connect two 17003 bakery orders $KEY session=@one
exec two SELECT v FROM stock WHERE k = 'lustre'
params one INSERT INTO stock VALUES (\$1, \$2)|board|12
params one SELECT v FROM stock WHERE k = \$1|board
exec one COPY stock FROM stdin
exec one LISTEN x
exec one SET search_path = x
exec one SET application_name = 'till'
exec one INSERT INTO stock VALUES ('lustre', '9')
exec one BEGIN
exec one INSERT INTO stock VALUES ('lustre', '9')
exec one SELECT v FROM stock WHERE k = 'lustre'
exec one ROLLBACK
exec one BEGIN READ ONLY
exec one SELECT v FROM stock WHERE k = 'lustre'
exec one UPDATE stock SET v = '3' WHERE k = 'lustre'
exec one ROLLBACK
connect bad 17001 bakery orders $PRESS_KEY
connect bad 17001 press orders $KEY
connect bad 17001 bakery nothing $KEY
connect bad 17001 bakery orders nonsense
EOF
echo "a caller that dies in its transaction leaves nothing behind:"
steps <<EOF
connect three 17001 bakery orders $KEY session=new
exec three BEGIN
exec three INSERT INTO stock VALUES ('ghost', '1')
close three
connect four 17001 bakery orders $KEY
exec four BEGIN
exec four COMMIT
exec four SELECT v FROM stock WHERE k = 'ghost'
EOF
echo "no upstream saw a key:"
grep -c -a -e "$KEY" -e "$PRESS_KEY" "$CAPTURE"
grep -q -a "INSERT INTO stock" "$CAPTURE" && echo "the capture works"
cat "$STAND"/*.log | grep -c -e "$KEY" -e "$PRESS_KEY" -e INSERT
rm -f "$CAPTURE"
echo "malformed callers are cut, the daemon goes on:"
for bytes in 'GET / HTTP/1.0\r\n\r\n' '\0\0\0\4' '\0\0\0\010\0\3\0\0' \
	'\377\377\377\377\377\377\377\377' '\0\0\0\011\0\3\0\0u' ''; do
	printf "$bytes" | timeout 3 bash -c \
		'exec 3<>/dev/tcp/$STAND_HOST/17001; cat >&3; sleep 0.1' 2>/dev/null
done
steps <<EOF
connect five 17001 bakery orders $KEY session=new
exec five SELECT v FROM stock WHERE k = 'lustre'
EOF
