#!/bin/sh

test_description='answers that have no body end with their heads

Bytes after such a head are read as the start of the next answer.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

# passed_on [PID] <CASES
passed_on () {
	timeout 60 python3 "$TEST_DIR/helper/passed-on.py" $ENTRY \
		$TEST_NET.2:80 "$@"
}

is_served () {
	echo "probe" | passed_on | grep ": 200"
}

# strip: removes the fields of each answer.
strip () {
	sed "s/ X-Limpetflow-Response-Stamp=.stamp.//; s/ Date=.now.//"
}

# All ways in which an upstream may write them.
cat >cases <<-\EOF
head method=HEAD framing=none
head-length method=HEAD body=text
head-length-1.0 method=HEAD version=1.0 body=text
head-chunks method=HEAD framing=spurious
head-closing method=HEAD framing=none ask=Connection:close
head-1.0 method=HEAD version=1.0 framing=none
head-1.0-kept method=HEAD version=1.0 framing=none ask=Connection:keep-alive
204 status=204 framing=none
204-length status=204 body=
204-1.0 status=204 framing=none version=1.0 ask=Connection:keep-alive
304 status=304 framing=none
304-length status=304 framing=none field=Content-Length:700
304-chunks status=304 framing=none field=Transfer-Encoding:chunked
304-1.0 status=304 framing=none version=1.0 ask=Connection:keep-alive
304-head status=304 framing=none method=HEAD field=Content-Length:700
interim interim=103
interim-204 interim=100 status=204 framing=none
EOF

start_store
put_config 1 16384 $(web_route plain idempotent 1 3000)
put_server i-1 2
start_entry 1
wait_ready 1
wait_until 10 is_served

# Guards against a length that is not the upstream's, and a last chunk.
test_expect_success 'answers without a body end with their heads' '
	passed_on <cases | strip >actual &&
	cat >expect <<-\EOF &&
	head: 200 length whole 0 closing, closed,
	head-length: 200 length whole 0, open, Content-Length=[4]
	head-length-1.0: 200 length whole 0 closing, closed, Content-Length=[4]
	head-chunks: 200 length whole 0 closing, closed,
	head-closing: 200 length whole 0 closing, closed,
	head-1.0: 200 length whole 0 closing, closed,
	head-1.0-kept: 200 length whole 0 closing, closed,
	204: 204 none whole 0, open,
	204-length: 204 none whole 0, open,
	204-1.0: 204 none whole 0, open,
	304: 304 length whole 0 closing, closed,
	304-length: 304 length whole 0, open, Content-Length=[700]
	304-chunks: 304 length whole 0 closing, closed,
	304-1.0: 304 length whole 0 closing, closed,
	304-head: 304 length whole 0, open, Content-Length=[700]
	interim: 200 length whole 2, open, Content-Length=[2]
	interim-204: 204 none whole 0, open,
	EOF
	test_cmp expect actual
'

test_expect_success 'they do so after SIGTERM' '
	passed_on $(cat e1.pid) <cases | strip >actual &&
	cat >expect <<-\EOF &&
	head: 200 length whole 0 closing, closed,
	head-length: 200 length whole 0 closing, closed, Content-Length=[4]
	head-length-1.0: 200 length whole 0 closing, closed, Content-Length=[4]
	head-chunks: 200 length whole 0 closing, closed,
	head-closing: 200 length whole 0 closing, closed,
	head-1.0: 200 length whole 0 closing, closed,
	head-1.0-kept: 200 length whole 0 closing, closed,
	204: 204 none whole 0 closing, closed,
	204-length: 204 none whole 0 closing, closed,
	204-1.0: 204 none whole 0 closing, closed,
	304: 304 length whole 0 closing, closed,
	304-length: 304 length whole 0 closing, closed, Content-Length=[700]
	304-chunks: 304 length whole 0 closing, closed,
	304-1.0: 304 length whole 0 closing, closed,
	304-head: 304 length whole 0 closing, closed, Content-Length=[700]
	interim: 200 length whole 2 closing, closed, Content-Length=[2]
	interim-204: 204 none whole 0 closing, closed,
	EOF
	test_cmp expect actual
'

test_done
