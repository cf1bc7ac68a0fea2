# Guards against lost or wrongly reported changes of plans, keys and marks, and
# against a withdrawn key that still works, while the platform's store is slow,
# loses answers or is down.
. "$(dirname "$0")/lib.bash"
stand_up --lag-ms 2
# Sends an incomplete startup packet and keeps the connection open; the end of
# the test checks that the daemon closed it.
{
	timeout 20 bash -c 'exec 3<>/dev/tcp/$STAND_HOST/17001
		printf "\0\0\0\100\0\3\0\0user" >&3
		cat <&3 >/dev/null' && echo "cut"
} >"$STAND/half" &
half_login_pid=$!
echo "an edit whose answer is lost is read back:"
platform_fault lose 1
ctl plan set gold 90 5000 1000
ctl get plan | sed 's/ [0-9]* / /'
echo "racing edits both take effect:"
for i in 1 2 3 4; do ctl key give press "r$i" >/dev/null & edit_pids="${edit_pids:-} $!"; done
# shellcheck disable=SC2086
wait $edit_pids
ctl get workspace/press | grep -o '"r[1-4]"' | sort | tr '\n' ' '
echo
echo "a refused document says so:"
echo '{"upstreams": []}' | ctl service set broken -
echo "exit status $?"
ctl key withdraw press nobody
echo "exit status $?"
echo "a slow platform: a withdrawn key stops on an open connection"
client_start
send_step "connect one 17003 press orders $PRESS_KEY session=new"; show_answer
platform_fault slow_ms 300
ctl key withdraw press k1
send_step "fails one 28000 SELECT count(*) FROM stock"; show_answer
platform_fault slow_ms 0
echo "the platform is down: callers are served, edits say that they are not known"
platform_fault down 1
send_step "connect two 17002 bakery orders $KEY session=new"; show_answer
send_step "writes two INSERT INTO stock VALUES ('down', '1')"; show_answer
send_step "exec two SELECT v FROM stock WHERE k = 'down'"; show_answer; show_answer
ctl plan set gold 1 1 1
echo "exit status $?"
platform_fault down 0
echo "a failure domain is taken out: its VM takes no new work"
ctl mark leave domain d2
send_step "fails two 57P01 SELECT v FROM stock WHERE k = 'down'"; show_answer
send_step "connect two 17002 bakery orders $KEY session=new"; show_answer
ctl mark return domain d2
await_status 2 '"phase": "serving"'
send_step "connect two 17002 bakery orders $KEY session=new"; show_answer
send_step "exec two SELECT v FROM stock WHERE k = 'down'"; show_answer; show_answer
client_stop
echo "half a login that goes no further:"
wait "$half_login_pid"
cat "$STAND/half"
cat "$STAND/timing" >&2
