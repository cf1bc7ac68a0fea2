# Keys, marks and edits while the platform is slow, loses answers or is down.
. "$(dirname "$0")/lib.bash"
stand_up --lag-ms 2
# A caller that sends half a login and stays; looked at in the end.
{
	timeout 20 bash -c 'exec 3<>/dev/tcp/127.0.0.1/17001
		printf "\0\0\0\100\0\3\0\0user" >&3
		cat <&3 >/dev/null' && echo "cut"
} >"$STAND/half" &
half=$!
echo "an edit whose answer is lost is read back:"
platform_fault lose 1
ctl plan set gold 90 5000 1000
ctl get plan | sed 's/ [0-9]* / /'
echo "racing edits both take effect:"
for i in 1 2 3 4; do ctl key give press "r$i" >/dev/null & edits="${edits:-} $!"; done
# shellcheck disable=SC2086
wait $edits
ctl get workspace/press | grep -o '"r[1-4]"' | sort | tr '\n' ' '
echo
echo "a refused document says so:"
echo '{"upstreams": []}' | ctl service set broken -
echo "exit status $?"
ctl key withdraw press nobody
echo "exit status $?"
echo "a slow platform: a withdrawn key stops on an open connection"
caller_start
say "connect one 17003 press orders $PRESS_KEY session=new"; hear
platform_fault slow_ms 300
ctl key withdraw press k1
say "fails one 28000 SELECT count(*) FROM stock"; hear
platform_fault slow_ms 0
echo "the platform is down: callers are served, edits say that they are not known"
platform_fault down 1
say "connect two 17002 bakery orders $KEY session=new"; hear
say "writes two INSERT INTO stock VALUES ('down', '1')"; hear
say "exec two SELECT v FROM stock WHERE k = 'down'"; hear; hear
ctl plan set gold 1 1 1
echo "exit status $?"
platform_fault down 0
echo "a failure domain is taken out: its VM takes no new work"
ctl mark leave domain d2
say "fails two 57P01 SELECT v FROM stock WHERE k = 'down'"; hear
say "connect two 17002 bakery orders $KEY session=new"; hear
ctl mark return domain d2
await_status 2 '"phase": "serving"'
say "connect two 17002 bakery orders $KEY session=new"; hear
say "exec two SELECT v FROM stock WHERE k = 'down'"; hear; hear
caller_end
echo "half a login that goes no further:"
wait "$half"
cat "$STAND/half"
cat "$STAND/timing" >&2
