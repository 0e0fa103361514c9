# Library for the tests of calls; sourced after t/test-lib.sh and
# t/fleet-lib.sh.  Starts a platform, entries, and agents with model engines or
# plain services.

CALLS_NET=$(fleet_net 1)
KEY_ADUBO=adubo-bearer-key
ENTRY1=$CALLS_NET.101
ENTRY2=$CALLS_NET.102

# calls_config REVISION MANIFEST [KEY_LIFETIME_S]: publishes a configuration
# document with a model "quotes" and a service "billing".
calls_config () {
	cat >document.json <<-EOF
	{"revision":$1,"fleet":{"fencing":["m-*"]},"accounts":[
	 {"account":"adubo","keys":["$(key_digest $KEY_ADUBO)"],
	  "models":[{"name":"quotes","manifest":"$2","upstreams":["m-*"],
	   "min_serving":0.5}],
	  "services":[{"name":"billing","upstreams":["p-*"],"operations":[
	   {"name":"charge","repeatable":false,"deadline_ms":${CALLS_DEADLINE:-5000},
	    "key_lifetime_s":${3:-600}},
	   {"name":"look","repeatable":true,"deadline_ms":${CALLS_DEADLINE:-5000}}]}]}]}
	EOF
	fleet_publish_config document.json
}

# call ADDRESS PATH [CURL-ARGUMENT...]: sends one call of account adubo; writes
# the response headers to headers.txt and the body to standard output.
call () {
	call_address=$1
	call_path=$2
	shift 2
	curl -s -m 20 -D headers.txt -H "Authorization: Bearer $KEY_ADUBO" \
		-H 'Content-Type: application/json' "$@" \
		"http://$call_address:7100$call_path"
}

status_of () {
	sed -n '1s/^HTTP[^ ]* \([0-9]*\).*/\1/p' headers.txt
}

header_of () {
	sed -n "s/^$1: *//Ip" headers.txt | tr -d '\r'
}

# runs_of ADDRESS KEY: prints how often a plain service ran a key.
runs_of () {
	curl -s "http://$1:7200/standin/runs" |
		jq --arg k "$2" '.runs[$k] // 0'
}

fault_at () {
	curl -s -f -o /dev/null -X POST -d "$2" "http://$1:7200/standin/fault"
}

# pid_of NAME: prints the process id of a program started with "start".
pid_of () {
	cat "$1.pid"
}

# routes_count ENTRY: prints how many upstreams the entry can route to.
routes_count () {
	curl -s -m 2 "http://$1:7102/status" |
		jq '[.calls.upstreams[] | select(.reachable and .serves > 0
		and (.draining | not))] | length'
}

routes_are () {
	test "$(routes_count "$1")" = "$2"
}

# models_start COUNT: starts a platform, a store with one small model, and COUNT
# engines with an agent each.  Sets $models (addresses), $digest and $content.
models_start () {
	models=
	for models_i in $(seq "$1"); do
		models="$models $CALLS_NET.$((30 + models_i))"
	done
	mkdir -p store &&
	model_make m.bin 65536 1 &&
	digest=$(model_publish store quotes 1 m.bin 16384) &&
	content=$(sha256sum <m.bin | cut -d" " -f1) &&
	fleet_platform_start && fleet_store_start store &&
	engines_start engines $models || return 1
	models_i=0
	for models_at in $models; do
		models_i=$((models_i + 1))
		agent_start m-$models_i dc1 $models_at model
	done
}
