#!/bin/sh

test_description='a request is sent no more often than its route allows

The HTTP library sends a request again by itself when a kept connection closes
before the answer, although the upstream may have run it.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

KEPT=8

# ask ID FORM: prints the status.
ask () {
	curl -s -m 5 -o /dev/null -w "%{http_code}\n" -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: $1" http://$ENTRY/web/$2
}

is_served () {
	ask probe plain-length | grep 200
}

# keep_connections: leaves the entry with KEPT idle connections, by answers that
# overlap.
keep_connections () {
	waiting=
	for i in $(seq $KEPT); do
		ask kept-$1-$i plain-length-late >/dev/null &
		waiting="$waiting $!"
	done
	wait $waiting
}

# runs ID: prints how often the upstreams got a request.
runs () {
	curl -s http://$TEST_NET.2:80/test/runs | jq ".\"$1\" // 0"
}

start_store
start upstreams python3 "$TEST_DIR/standin/raw_server.py" $TEST_NET.2:80 $TEST_NET.3:80

test_expect_success 'an entry serves' '
	put_config 1 16384 $(web_route web idempotent 2 3000) &&
	put_server i-2 2 && put_server i-3 3 &&
	start_entry 1 && wait_ready 1 &&
	wait_until 10 is_served
'

# Guards against repeats that no budget and no count of attempts knows.
test_expect_success 'upstreams that close kept connections get two attempts' '
	for round in 1 2 3; do
		keep_connections $round &&
		ask lost-$round head-none &&
		runs lost-$round >>actual || return 1
	done &&
	cat actual &&
	printf "2\n2\n2\n" >expect &&
	test_cmp expect actual
'

# A second attempt is the entry'"$SQ"'s own, at another upstream.
test_expect_success 'a request whose connection closes is answered elsewhere' '
	keep_connections again &&
	test "$(ask again-1 head-none+plain-length)" = 200 &&
	test "$(runs again-1)" = 2
'

test_done
