# Guards against a session that is uncounted from a bucket that never counted it.
. "$(dirname "$0")/lib.bash"
stand_up --lag-ms 2

# Connects until the login ends with the text.
connects_until() { # text
	local tries=400
	while [ $tries -gt 0 ]; do
		send_step "connect probe 17001 bakery orders $KEY session=new"
		read -r answer <&"${CLIENT[0]}"
		[[ $answer == *"$1"* ]] && break
		tries=$((tries - 1))
		read -t 0.02 -r _ <>"$STAND/pause"
	done
	echo "$answer"
}

client_start
send_step "connect one 17001 bakery orders $KEY session=new"; show_answer
fault db1 late_ms 6000
send_step "send one INSERT INTO jobs VALUES ('a', 'foil')"; show_answer
ctl workspace rm bakery
connects_until "not run"
ctl workspace add bakery gold
KEY=$(create_key bakery)
connects_until ": connected" # "not connected" has the word, too
send_step "wait one"; show_answer
send_step "close one"; show_answer
send_step "close probe"; show_answer
read -t 0.5 -r _ <>"$STAND/pause"
send_step "connect probe 17001 bakery orders $KEY session=new"; show_answer
send_step "connect two 17001 bakery orders $KEY session=new"; show_answer
client_stop
