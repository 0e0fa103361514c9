#!/bin/sh

test_description='answers that many read slowly stay within the memory of the machine'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

MEMORY_MB=80
READERS=400
# So many answers fill the memory when each may leave 256 KB unsent.
BEGUN_MIN=$((MEMORY_MB * 1000000 / (256 * 1024) + 1))

read_slowly () {
	timeout 60 python3 "$TEST_DIR/helper/many-slow-readers.py" $ENTRY "$@"
}

is_served () {
	curl -s -m 5 -H "Host: a.example" -H "X-Limpetflow-Request-Id: r" \
		-o /dev/null -w "%{http_code} %{size_download}" \
		http://$ENTRY/web/plain-length | grep "200 612"
}

# Sanitizers keep freed memory, so that only the release flavor is measured.
is_within_memory () {
	test "$FLAVOR" != release ||
		test $(($(peak_kb) * 1024)) -le $((MEMORY_MB * 1000000))
}

# peak_kb: prints the largest resident memory of the entry so far.
peak_kb () {
	awk "/^VmHWM/ { print \$2 }" /proc/$(cat e1.pid)/status
}

start_store
start upstreams python3 "$TEST_DIR/standin/raw_server.py" $TEST_NET.2:80 \
	$TEST_NET.3:80 $TEST_NET.4:80 $TEST_NET.5:80 $TEST_NET.6:80 $TEST_NET.7:80

test_expect_success 'an entry serves' '
	put_config 1 16384 $(web_route web idempotent 1 30000) &&
	for host in 2 3 4 5 6 7; do
		put_server i-$host $host || return 1
	done &&
	start_entry 1 ",\"machine_memory_mb\":$MEMORY_MB" && wait_ready 1 &&
	wait_until 10 is_served
'

# Guards against buffers of single answers of which nobody knows the sum.
test_expect_success 'many read large answers slowly' '
	read_slowly /web/large-length $READERS $BEGUN_MIN 6 >actual && cat actual &&
	echo "peak $(peak_kb) kB" &&
	test "$(cut -d" " -f1 actual)" -ge $BEGUN_MIN &&
	is_within_memory
'

# Guards against readers that take the places of others.
test_expect_success 'others are served meanwhile, and after it' '
	read_slowly /web/large-chunked $READERS $BEGUN_MIN 6 >actual & reader=$! &&
	sleep 3 && wait_until 5 is_served && wait $reader && cat actual &&
	wait_until 10 is_served && echo "peak $(peak_kb) kB" &&
	is_within_memory
'

test_done
