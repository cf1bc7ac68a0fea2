#!/bin/bash
# Guards against a withdrawn key that is valid again, and a removed route that comes
# back, after the store was restored from an older copy, through the HTTP client: the
# header Store-Era, answers with 410 and lists whose revisions went back.
. "$(dirname "$0")/lib.bash"

old_route=',{"database":"stock","routeType":"primary","timeoutMs":1000,
"targetLatencyMs":200,"priority":1,"service":"stand","public":false}'

logins() {
	for n in 1 2; do
		echo "$n: $(login $n orders key-one), withdrawn key:" \
			"$(login $n orders key-two), old route:" \
			"$(login $n stock key-one)"
	done
}

line_start
line_fault store era "${ERA:-1}"
line_fault store rewrite_ms 6000
line_put config main "$(line_configuration 1 '"key-one","key-two"' "$old_route")"
line_daemon_start a1 d1 1
line_daemon_start b1 d2 2
for n in 1 2; do
	await_status $n '"state": "stable"' || exit 1
	await_status $n '"phase": "serving"' || exit 1
done
sleep 2
logins

echo "# a key is withdrawn, and a route removed"
line_put config main "$(line_configuration 2 '"key-one"' '')"
for n in 1 2; do
	await_login $n orders key-two ERROR
done
sleep 1
logins

echo "# the store is restored from a copy that is older than that"
line_fault store down 1
line_fault store drill 2500
sleep 0.5
line_fault store down 0
sleep 2.5
logins
curl -sf http://$STAND_HOST:17201/metrics | grep '^kl_store_era '

echo "# the operator's writes are restored, and a key is added"
sleep 4
logins
line_put config main "$(line_configuration 3 '"key-one","key-two"' '')"
for n in 1 2; do
	await_login $n orders key-two READY
done

echo "# a malformed era and a falling one are refused, and counted"
before=$(counter 1 kl_platform_errors_total)
line_fault store era -1
line_put config main "$(line_configuration 4 '"key-one"' '')"
sleep 1.5
login 1 orders key-two
[ "$(counter 1 kl_platform_errors_total)" -gt "$before" ] && echo "counted"
line_fault store era 1
sleep 1
login 1 orders key-two
[ "$(counter 1 kl_store_era_refused_total)" -gt 0 ] && echo "counted"
line_fault store era 2
for n in 1 2; do
	await_login $n orders key-two ERROR
done
