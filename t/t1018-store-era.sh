#!/bin/sh

test_description='an entry whose metadata store returns from an older copy'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
ENTRY2=$TEST_NET.11:8000
READY2=$TEST_NET.11:8001

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

mode () {
	curl -sf -d "$1" http://$STORE/test/mode >/dev/null
}

# server ID HOST SEQ STATE: an upstream of the service "web".
server () {
	printf '{"Service":"web","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"%s","ColdLeftMs":0,"Seq":%s,"born":1000}' \
		"$TEST_NET.$2:80" "$4" "$3" | put "servers/$1"
}

# config VERSION KEY PREFIX...: one route for each prefix.
config () {
	version=$1 key=$2 routes=
	shift 2
	for prefix; do
		routes="$routes,{\"Name\":\"$prefix\",\"Host\":\"a.example\",\"Prefix\":\"/$prefix/\",\"Kind\":\"idempotent\",\"TimeoutMs\":3000,\"SloMs\":500,\"Service\":\"web\",\"Attempts\":2}"
	done
	printf '{"Version":%s,"Routes":[%s],"Services":[{"Name":"web","MaxConns":90},{"Name":"llm","Engine":{"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"acme","ApiKeys":["%s"]}]}' \
		"$version" "${routes#,}" "$key" | put op/config
}

release () {
	printf '{"Model":"m","Version":%s}' "$1" | put op/version/m
}

# status KEY PREFIX [ENTRY]
status () {
	curl -s -m 5 -o body -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r-$$" -H "Authorization: Bearer $1" \
		"http://${3:-$ENTRY}/$2/x"
}

status_is () {
	test "$(status "$2" "$3" "$4")" = "$1"
}

# used_now KEY PREFIX: prints the upstreams that answer 24 requests.
used_now () {
	for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22 23 24; do
		status $1 $2 >/dev/null && jq -r .by body
	done | sort -u | tr '\n' ' '
}

# uses KEY PREFIX UPSTREAMS
uses () {
	test "$(used_now $1 $2)" = "$3 "
}

# uses_also KEY PREFIX UPSTREAM...: these are among the used ones.
uses_also () {
	also_used=" $(used_now $1 $2)"
	shift 2
	for also; do
		case "$also_used" in
		*" $also "*) ;;
		*) return 1 ;;
		esac
	done
}

entry_settings () {
	cat <<-EOF
	{"instance":"$1","data_center":"d1","address":"$TEST_NET.$2",
	 "ports":{"first":7700},
	 "listen":{"callers":"$TEST_NET.$2:8000","ready":"$TEST_NET.$2:8001"},
	 "platform":"store","platform_url":"http://$STORE",
	 "key":"0123456789abcdef","seeds":["$TEST_NET.1:7700","$TEST_NET.11:7700"],
	 "forward":{"stop_grace_s":8,"retry_ratio":0.2,"retry_window_s":10,
	  "retry_slack":100}}
	EOF
}

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
for n in 2 3 4 5; do
	start up$n python3 "$TEST_DIR/standin/metadata_store.py" upstream $TEST_NET.$n:80 i-$n
done
entry_settings e1 1 >entry.json
entry_settings e2 11 >entry2.json

test_expect_success 'an entry serves what was written before the copy and after it' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config 1 k1 old && release 2 &&
	server i-2 2 1 ready && server i-3 3 1 ready && server i-4 4 1 ready &&
	mode "{\"copy\":true}" &&
	start entry limpet-entry --settings entry.json &&
	wait_until 10 status_is 200 k1 old &&
	config 5 k2 old new && release 4 &&
	server i-3 3 2 draining &&
	curl -sf -X DELETE http://$STORE/test/servers/i-4 &&
	server i-5 5 1 ready &&
	wait_until 10 status_is 200 k2 new &&
	wait_until 3 uses k2 new "i-2 i-5"
'

# The copy has key k1 and no route "new", i-3 ready, i-4, and no i-5.
test_expect_success 'nothing in force steps back to the copy' '
	mode "{\"restore\":true}" &&
	for i in 1 2 3; do
		used_now k2 new >>used &&
		status_is 401 k1 old || return 1
	done &&
	tr " " "\n" <used | sort -u | grep . | tr "\n" " " >actual &&
	echo "i-2 i-5 " >expect &&
	echo >>actual &&
	test_cmp expect actual
'

test_expect_success 'a process that starts takes the configuration of its peers' '
	start entry2 limpet-entry --settings entry2.json &&
	wait_until 10 curl -sf http://$READY2/readyz &&
	status_is 200 k2 new $ENTRY2 &&
	status_is 401 k1 old $ENTRY2
'

# The revision of this configuration was given out before, to another change.
test_expect_success 'a configuration of the new era comes into force' '
	config 7 k3 old third &&
	wait_until 10 status_is 200 k3 third &&
	wait_until 10 status_is 200 k3 third $ENTRY2 &&
	wait_until 10 status_is 401 k2 old &&
	wait_until 10 status_is 404 k3 new
'

test_expect_success 'servers that write again are used, as are new ones' '
	server i-5 5 4 ready && server i-4 4 9 ready &&
	wait_until 3 uses_also k3 third i-4 i-5 &&
	server i-3 3 8 ready &&
	wait_until 3 uses k3 third "i-2 i-3 i-4 i-5"
'

test_expect_success 'a configuration that is written again, older first, does not step back' '
	mode "{\"copy\":true}" &&
	config 9 k4 old && wait_until 10 status_is 200 k4 old &&
	mode "{\"restore\":true}" &&
	config 8 k3 old third &&
	for i in 1 2 3 4 5 6 7 8 9 10; do
		status_is 200 k4 old && sleep 0.1 || return 1
	done &&
	config 9 k4 old && release 6 && config 10 k5 old &&
	wait_until 10 status_is 200 k5 old &&
	wait_until 10 status_is 200 k5 old $ENTRY2
'

# While the entry could not read, the store gave out the revision after which
# the entry waits, and later ones, a second time.
test_expect_success 'changes under revisions that are given out twice are found' '
	mode "{\"copy\":true}" &&
	config 11 k6 old && wait_until 10 status_is 200 k6 old &&
	mode "{\"down\":true,\"restore\":true}" &&
	config 12 k7 old && release 7 && release 8 && release 9 &&
	mode "{}" &&
	wait_until 10 status_is 200 k7 old &&
	wait_until 10 status_is 200 k7 old $ENTRY2
'

test_done
