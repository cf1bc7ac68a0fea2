# Guards against a daemon that starts with invalid settings: each mistake must be
# reported with its line or name and exit status 2.
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
check_settings() { # first line, sed command for the others
	{
		echo "$1"
		cat <<YAML
vm: a1
domain: d1
host: 127.0.0.1
listen_port: 17001
peer_port: 17101
status_port: 17201
platform: http://127.0.0.1:17300
YAML
	} | sed "${2:-}" >"$work/settings.yaml"
	echo "> $1 ${2:-}${options:-}"
	# shellcheck disable=SC2086
	"$BUILD/kumquatloftd" --settings "$work/settings.yaml" --check \
		${options:-} 2>&1 |
		sed "s#$work/##"
	echo "exit status ${PIPESTATUS[0]}"
}
check_settings "workers: 4"
check_settings "colour: red"
check_settings "workers: many"
check_settings "workers: 900"
check_settings "workers: 0"
check_settings "lease_ms: 500"
check_settings "peers: [{host: 127.0.0.1}]"
check_settings "peers: [{host: 127.0.0.1, port: 17102}]"
check_settings "" "s/^host:.*/host: example.org/"
check_settings "" "/^vm:/d"
check_settings "" "s/^platform:.*/platform: ftp:x/"
for option in leave_ms=4000 leave_ms= leave_ms=50 leave_ms=x colour=1; do
	options="--set $option"
	check_settings "workers: 4"
done
options=
"$BUILD/kumquatloftd" 2>&1
echo "exit status $?"
"$BUILD/kumquatctl" plan set gold 2>&1
echo "exit status $?"
"$BUILD/kumquatctl" fly 2>/dev/null
echo "exit status $?"
