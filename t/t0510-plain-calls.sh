#!/bin/sh

test_description='calls to a plain service, end to end'
. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"

P1=$CALLS_NET.31
P2=$CALLS_NET.32
NO_MANIFEST=$(printf none | sha256sum | cut -d' ' -f1)
CHARGE=/v1/services/billing/charge

# raw_send ADDRESS TEXT: sends bytes (with escapes) and closes the connection.
raw_send () {
	python3 -c "import socket, sys
s = socket.create_connection((sys.argv[1], 7100))
s.sendall(sys.argv[2].encode().decode('unicode_escape').encode('latin1'))
s.close()" "$1" "$2"
}

test_expect_success 'a fleet with two plain services starts' '
	fleet_platform_start &&
	plain_start plain1 $P1 &&
	plain_start plain2 $P2 &&
	agent_start p-1 dc1 $P1 plain &&
	agent_start p-2 dc1 $P2 plain &&
	entry_start e-1 dc1 $ENTRY1 &&
	entry_start e-2 dc1 $ENTRY2 &&
	fleet_publish_instances &&
	calls_config 1 $NO_MANIFEST &&
	wait_until 20 routes_are $ENTRY1 2 &&
	wait_until 20 routes_are $ENTRY2 2
'

test_expect_success 'without a valid key, every path gets the same refusal' '
	curl -s -D headers.txt -d "{}" http://$ENTRY1:7100$CHARGE >out &&
	test "$(status_of)" = 401 &&
	curl -s -D headers.txt -d "{}" -H "Authorization: Bearer no" \
		http://$ENTRY1:7100/v1/services/none/none >out2 &&
	test "$(status_of)" = 401 &&
	test_cmp out out2 &&
	test "$(jq -r .outcome out)" = not-run
'

test_expect_success 'an answer carries the request id and a ticket' '
	call $ENTRY1 $CHARGE -H "X-Request-Id: r1" -d "{\"sum\":5}" >out &&
	test "$(status_of)" = 200 &&
	test "$(header_of X-Request-Id)" = r1 &&
	test "$(header_of X-Outcome)" = answer &&
	test "$(jq -r .id out)" = r1 &&
	test "$(jq .echo.sum out)" = 5 &&
	header_of X-Ticket >ticket &&
	grep -q "^t1:p-" ticket
'

test_expect_success 'a retry with the ticket at another entry replays the answer' '
	cp out first &&
	call $ENTRY2 $CHARGE -H "X-Request-Id: r1" \
		-H "X-Ticket: $(cat ticket)" -d "{\"sum\":5}" >out &&
	test "$(status_of)" = 200 &&
	test_cmp first out
'

test_expect_success 'a ticket is bound to its request and cannot be forged' '
	call $ENTRY2 $CHARGE -H "X-Ticket: $(cat ticket)" -d "{\"sum\":6}" \
		>out &&
	test "$(status_of)" = 422 &&
	test "$(jq -r .reason out)" = key-reused &&
	call $ENTRY2 $CHARGE -d "{\"sum\":5}" \
		-H "X-Ticket: $(sed s/:p-1:/:p-9:/\;s/:p-2:/:p-9:/ ticket)" \
		>out &&
	test "$(status_of)" = 400 &&
	test "$(jq -r .outcome out)" = not-run
'

test_expect_success 'concurrent calls with a ticket issued in advance run once' '
	call $ENTRY1 /v1/tickets -d "{\"service\":\"billing\"}" |
		jq -r .ticket >ticket &&
	for i in 1 2 3 4 5 6; do
		entry=$ENTRY1 &&
		test $((i % 2)) = 0 || entry=$ENTRY2
		curl -s -m 10 -H "Authorization: Bearer $KEY_ADUBO" \
			-H "X-Ticket: $(cat ticket)" -H "X-Request-Id: t$i" \
			-d "{}" http://$entry:7100$CHARGE >out.$i &
		waits="$waits $!"
	done &&
	wait $waits &&
	key=$(cut -d: -f8 ticket) &&
	test $(($(runs_of $P1 $key) + $(runs_of $P2 $key))) = 1 &&
	jq -s -e "map(.run) == [1,1,1,1,1,1]" out.1 out.2 out.3 out.4 out.5 \
		out.6
'

# A pause this short is not detected.
test_expect_success 'a call that waits for its gate past its deadline does not run' '
	call $ENTRY1 /v1/tickets -d "{\"service\":\"billing\"}" |
		jq -r .ticket >ticket &&
	key=$(cut -d: -f8 ticket) &&
	fleet_signal p-1 STOP && fleet_signal p-2 STOP &&
	{ call $ENTRY1 $CHARGE -H "X-Ticket: $(cat ticket)" \
		-H "X-Deadline-Ms: 200" -d "{}" >out || :; } &&
	fleet_signal p-1 CONT && fleet_signal p-2 CONT &&
	test "$(jq -r .outcome out)" = unknown &&
	sleep 0.5 &&
	test "$(runs_of $P1 $key)$(runs_of $P2 $key)" = 00 &&
	call $ENTRY2 $CHARGE -H "X-Ticket: $(cat ticket)" -d "{}" >out &&
	test "$(status_of)" = 200 &&
	test $(($(runs_of $P1 $key) + $(runs_of $P2 $key))) = 1
'

test_expect_success 'malformed input is refused and the entry keeps running' '
	call $ENTRY1 $CHARGE -H "X-Deadline-Ms: soon" -d "{}" >out &&
	test "$(status_of)" = 400 &&
	call $ENTRY1 /v1/services/billing/none -d "{}" >out &&
	test "$(status_of)" = 404 &&
	head -c 1100000 /dev/zero >large &&
	call $ENTRY1 $CHARGE -H "Expect:" --data-binary @large >out &&
	test "$(status_of)" = 413 &&
	test "$(jq -r .outcome out)" = not-run &&
	call $ENTRY1 /v1/models/quotes/generate -d "{\"prompt\":" >out &&
	test "$(status_of)" = 400 &&
	raw_send $ENTRY1 \
		"POST /v1/tickets HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n{" &&
	raw_send $ENTRY1 "\0\1garbage\r\n\r\n" &&
	raw_send $P1 "POST /call/plain/x/y HTTP/1.1\r\nHost: a\r\nContent-Le" &&
	curl -s -D headers.txt -d "{}" http://$P1:7100/call/plain/billing/charge \
		>out &&
	test "$(status_of)" = 400 &&
	curl -s -D headers.txt -d "{}" -H "X-Limpet-Request: x" \
		-H "X-Limpet-Account: adubo" -H "X-Limpet-Left-Ms: 1000" \
		-H "X-Limpet-Repeatable: 1 1" \
		-H "X-Limpet-Fingerprint: $NO_MANIFEST" \
		-H "X-Limpet-Auth: $NO_MANIFEST" \
		http://$P1:7100/call/plain/billing/charge >out &&
	test "$(status_of)" = 401 &&
	call $ENTRY1 $CHARGE -d "{}" >out &&
	test "$(status_of)" = 200
'

test_expect_success 'explain shows the upstream of a call' '
	call $ENTRY1 $CHARGE -H "X-Request-Id: seek-me" -d "{}" >out &&
	limpetctl explain --json seek-me $ENTRY1 >out 2>&1 || cat out &&
	curl -s "http://$ENTRY1:7102/explain?id=seek-me" >out &&
	test "$(jq -r .calls[0].outcome out)" = answer &&
	jq -e ".calls[0].steps[0].step | test(\"^p-[12] of 2\")" out
'

test_done
