#!/bin/sh

test_description='the HTTP client tells whole answers from others and ends those without end'

. "$(dirname "$0")/test-lib.sh"

SERVER=$TEST_NET.2:7080
PEAK_MAX_KB=65536

# fetch FORM...: prints the end of each form of answer.
fetch () {
	for form; do
		echo "$form: $(fetch-answer "http://$SERVER/$form" 1500 2>peak)"
	done
}

# fetch_forever WHAT...: the same for answers without end, none of which may
# take much memory.
fetch_forever () {
	for what; do
		fetch "forever-$what" | sed "s/[0-9]* bytes/some bytes/" &&
		test "$(sed "s/ KB//" peak)" -le $PEAK_MAX_KB || return 1
	done
}

# closed COUNT: the server has seen that many answers without end closed.
closed () {
	test "$(curl -s http://$SERVER/test/ended)" = "$1"
}

start server python3 "$TEST_DIR/standin/raw_server.py" $SERVER

test_expect_success 'a length and chunks mark the end, a close does not' '
	wait_until 5 curl -sf http://$SERVER/test/ended &&
	fetch plain-length plain-chunked plain-close head-whole >actual &&
	cat >expect <<-\EOF &&
	plain-length: 200 length whole 612 bytes
	plain-chunked: 200 chunked whole 612 bytes
	plain-close: 200 close whole 612 bytes
	head-whole: 200 close whole 0 bytes
	EOF
	test_cmp expect actual
'

test_expect_success 'answers that end before their mark are errors' '
	fetch half-length-open half-chunked-open half-length-reset \
		half-chunked-reset half-close-reset >actual &&
	cat >expect <<-\EOF &&
	half-length-open: 200 length corrupt 306 bytes
	half-chunked-open: 200 chunked corrupt 306 bytes
	half-length-reset: 200 length corrupt 306 bytes
	half-chunked-reset: 200 chunked corrupt 306 bytes
	half-close-reset: 200 close corrupt 306 bytes
	EOF
	test_cmp expect actual
'

# libcurl reports such a transfer as complete, with the headers so far.
test_expect_success 'an answer that ends inside its head is an error' '
	fetch head-open head-reset >actual &&
	cat >expect <<-\EOF &&
	head-open: 200 none corrupt 0 bytes
	head-reset: 200 none corrupt 0 bytes
	EOF
	test_cmp expect actual
'

test_expect_success 'heads and trailers without end are closed in bounded memory' '
	fetch_forever noise status line head interim trailer >actual &&
	cat >expect <<-\EOF &&
	forever-noise: 0 none corrupt some bytes
	forever-status: 0 none internal some bytes
	forever-line: 200 none internal some bytes
	forever-head: 200 none corrupt some bytes
	forever-interim: 100 none corrupt some bytes
	forever-trailer: 200 chunked corrupt some bytes
	EOF
	test_cmp expect actual &&
	wait_until 5 closed 6
'

test_expect_success 'bodies without end are closed in bounded memory' '
	fetch_forever body event comment chunk >actual &&
	cat >expect <<-\EOF &&
	forever-body: 200 close refused some bytes
	forever-event: 200 close refused some bytes
	forever-comment: 200 close refused some bytes
	forever-chunk: 200 chunked corrupt some bytes
	EOF
	test_cmp expect actual &&
	wait_until 5 closed 10
'

test_expect_success 'a head that comes byte by byte is closed at the time-out' '
	fetch_forever slow >actual &&
	cat >expect <<-\EOF &&
	forever-slow: 200 none timeout some bytes
	EOF
	test_cmp expect actual &&
	wait_until 5 closed 11
'

test_done
