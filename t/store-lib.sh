# Library for tests of entries on the users' platform; sourced after
# t/test-lib.sh.  The store listens on $TEST_NET.9, entry N on $TEST_NET.N.

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001

# put KEY: writes the item from standard input.
put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

remove () {
	curl -sf -X DELETE "http://$STORE/test/$1" >/dev/null
}

# put_server ID HOST: an upstream of the service "web" at $TEST_NET.HOST:80.
put_server () {
	printf '{"Service":"web","Addr":"%s","Zone":"d1","Version":"v1","Slots":90,"State":"ready","ColdLeftMs":0,"Seq":1,"born":1000}' \
		"$TEST_NET.$2:80" | put "servers/$1"
}

# web_route NAME KIND ATTEMPTS TIMEOUT_MS [MEMBERS]: prints a route of the prefix
# /NAME/ to that service.
web_route () {
	printf '{"Name":"%s","Host":"a.example","Prefix":"/%s/","Kind":"%s","Attempts":%s,"TimeoutMs":%s,"SloMs":1000,"Service":"web"%s}' \
		"$1" "$1" "$2" "$3" "$4" "$5"
}

# put_config VERSION HEADER_BYTES ROUTE...
put_config () {
	config_version=$1
	config_header_bytes=$2
	config_routes=$3
	shift 3
	for config_route; do
		config_routes="$config_routes,$config_route"
	done
	printf '{"Version":%s,"Routes":[%s],"Services":[{"Name":"web","MaxConns":900}],"Limits":{"MaxHeaderBytes":%s,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}' \
		$config_version "$config_routes" $config_header_bytes |
		put op/config
}

# put_keyed_config VERSION: has the route /added-VERSION/ and the key key-VERSION.
put_keyed_config () {
	cat <<-EOC | put op/config
	{"Version":$1,"Routes":[
	 {"Name":"added","Host":"a.example","Prefix":"/added-$1/","Kind":"idempotent","TimeoutMs":3000,"Service":"web"},
	 {"Name":"kept","Host":"a.example","Prefix":"/kept/","Kind":"idempotent","TimeoutMs":3000,"Service":"web"}],
	 "Services":[{"Name":"web"}],"Tenants":[{"Name":"acme","ApiKeys":["key-$1"]}]}
	EOC
}

# get_status ENTRY PATH KEY
get_status () {
	curl -s -m 5 -o /dev/null -w "%{http_code}" -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r" -H "Authorization: Bearer $3" \
		"http://$TEST_NET.$1:8000$2"
}

# is_in_force VERSION BEFORE ENTRY...: at these, VERSION is and BEFORE is not.
is_in_force () {
	force_version=$1
	force_before=$2
	shift 2
	for force_entry; do
		test "$(get_status $force_entry /added-$force_version/x \
			key-$force_version)" = 200 &&
		test "$(get_status $force_entry /kept/x \
			key-$force_before)" = 401 || return 1
	done
}

# start_store: starts the store and waits for it.
start_store () {
	start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
	wait_until 10 curl -sf http://$STORE/test/calls
}

# start_entry N [MEMBERS [FORWARD-MEMBERS [STORE]]]: starts entry N; the members of
# its settings begin with a comma.
start_entry () {
	cat >e$1.json <<-EOC
	{"instance":"e$1","data_center":"d1","address":"$TEST_NET.$1",
	 "ports":{"first":7700},"listen":{"callers":"$TEST_NET.$1:8000",
	 "ready":"$TEST_NET.$1:8001"},"platform":"store",
	 "platform_url":"http://${4:-$STORE}","key":"0123456789abcdef",
	 "seeds":["$TEST_NET.1:1","$TEST_NET.2:1","$TEST_NET.3:1"]$2,
	 "forward":{"stop_grace_s":3,"retry_ratio":0.2,"retry_window_s":10,
	  "retry_slack":1000$3}}
	EOC
	start e$1 limpet-entry --settings e$1.json
}

# wait_ready N...
wait_ready () {
	for ready_entry; do
		wait_until 10 curl -sf http://$TEST_NET.$ready_entry:8001/readyz ||
			return 1
	done
}

# count_calls N: prints how often an entry has called the store.
count_calls () {
	curl -s -m 2 "http://$TEST_NET.$1:7702/metrics" |
		awk '/platform_calls/ { n += $2 } END { print n + 0 }'
}
