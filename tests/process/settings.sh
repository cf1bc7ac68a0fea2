# Settings are checked as a whole before anything starts.
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
try() { # first line, further edit
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
	echo "> $1 ${2:-}"
	"$BUILD/kumquatloftd" --settings "$work/settings.yaml" --check 2>&1 |
		sed "s#$work/##"
	echo "exit status ${PIPESTATUS[0]}"
}
try "workers: 4"
try "colour: red"
try "workers: many"
try "workers: 900"
try "workers: 0"
try "lease_ms: 500"
try "peers: [{host: 127.0.0.1}]"
try "peers: [{host: 127.0.0.1, port: 17102}]"
try "" "s/^host:.*/host: example.org/"
try "" "/^vm:/d"
try "" "s/^platform:.*/platform: ftp:x/"
"$BUILD/kumquatloftd" 2>&1
echo "exit status $?"
"$BUILD/kumquatctl" plan set gold 2>&1
echo "exit status $?"
"$BUILD/kumquatctl" fly 2>/dev/null
echo "exit status $?"
