#!/bin/sh

test_description='an answer that can'"'"'t be written as it is is refused as a whole'

. "$(dirname "$0")/test-lib.sh"

SERVER=$TEST_NET.1:8000

# ask <CASES
ask () {
	timeout 60 python3 "$TEST_DIR/helper/passed-on.py" $SERVER - |
		sed "s/ Date=.now.//; s/ Content-Length=[^ ]*//"
}

start server head-server $TEST_NET.1 8000
wait_until 5 curl -sf http://$SERVER/metrics

# Guards against a field that the library refuses and nobody misses.
test_expect_success 'a field that the library refuses makes the answer a failure' '
	ask >actual <<-\EOF &&
	fine "path=/reply?name=X-Fine&value=a"
	name "path=/reply?name=X%20Bad&value=secret"
	value "path=/reply?name=X-Bad&value=secret%0d%0aX-More:1"
	connection "path=/reply?name=Connection&value=keep-alive"
	coding "path=/reply?name=Transfer-Encoding&value=gzip"
	length "path=/reply?name=Content-Length&value=7"
	fine-stream "path=/stream?name=X-Fine&value=a"
	name-stream "path=/stream?name=X%20Bad&value=secret"
	fine-1.0 version=1.0 "path=/stream?name=X-Fine&value=a"
	name-1.0 version=1.0 "path=/stream?name=X%20Bad&value=secret"
	EOF
	cat >expect <<-\EOF &&
	fine: 200 length whole 2, open, X-Fine=[a] Content-Type=[text/plain]
	name: 502 length whole 133, open, unwritable-head Content-Type=[application/problem+json]
	value: 502 length whole 133, open, unwritable-head Content-Type=[application/problem+json]
	connection: 502 length whole 133, open, unwritable-head Content-Type=[application/problem+json]
	coding: 502 length whole 133, open, unwritable-head Content-Type=[application/problem+json]
	length: 502 length whole 133, open, unwritable-head Content-Type=[application/problem+json]
	fine-stream: 200 chunked whole 2, open, X-Fine=[a] Content-Type=[text/plain]
	name-stream: 502 length whole 133, open, unwritable-head Content-Type=[application/problem+json]
	fine-1.0: 200 length whole 2 closing, closed, X-Fine=[a] Content-Type=[text/plain]
	name-1.0: 502 length whole 133 closing, closed, unwritable-head Content-Type=[application/problem+json]
	EOF
	test_cmp expect actual
'

# Each connection of a stream carries two requests, but for that of HTTP/1.0.
test_expect_success 'who writes the rest of it sees the caller as gone' '
	test $(grep -c "caller gone" server.out) = 2 &&
	test $(grep -c "caller there" server.out) = 4
'

test_expect_success 'such answers are counted, and the log names the field alone' '
	curl -s http://$SERVER/metrics | grep "http_unwritable.* 13$" &&
	test $(grep -c "the library refused the field" server.out) = 13 &&
	! grep secret server.out
'

test_done
