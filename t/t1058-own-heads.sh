#!/bin/sh

test_description='the heads of a server'"'"'s own answers'

. "$(dirname "$0")/test-lib.sh"

SERVER=$TEST_NET.1:8000

# ask <CASES
ask () {
	timeout 60 python3 "$TEST_DIR/helper/passed-on.py" $SERVER - |
		sed "s/ Date=.now.//; s/ Content-Length=[^ ]*//;
			s/ *$//"
}

cat >cases <<-\EOF
reply path=/reply
stream path=/stream
reply-1.0 version=1.0 path=/reply
reply-1.0-kept version=1.0 path=/reply ask=Connection:keep-alive
stream-1.0 version=1.0 path=/stream
stream-1.0-kept version=1.0 path=/stream ask=Connection:keep-alive
head method=HEAD path=/any
head-1.0 method=HEAD version=1.0 path=/any
reply-close path=/reply ask=Connection:close
stream-close path=/stream ask=Connection:close
unknown path=/unknown
unknown-1.0 version=1.0 path=/unknown
unknown-head method=HEAD path=/unknown
unknown-close path=/unknown ask=Connection:close
unwritable "path=/reply?name=X%20Bad"
unwritable-close "path=/reply?name=X%20Bad" ask=Connection:close
large "raw=POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n"
version "raw=GET / HTTP/2.0\r\nHost: a\r\n\r\n"
twice path=/twice
noise "raw=noise\r\n\r\n"
chunks "raw=POST /post HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
EOF
printf 'long "raw=GET /%040000d HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n"\n' 0 >>cases

start server head-server $TEST_NET.1 8000
wait_until 5 curl -sf http://$SERVER/metrics

# Guards against a framing field twice, and bytes after an answer. The pages for a
# version, noise, chunks and a long target are of the HTTP library itself.
test_expect_success 'each field stands once' '
	ask <cases >actual &&
	cat >expect <<-EOF &&
	reply: 200 length whole 2, open, Content-Type=[text/plain]
	stream: 200 chunked whole 2, open, Content-Type=[text/plain]
	reply-1.0: 200 length whole 2 closing, closed, Content-Type=[text/plain]
	reply-1.0-kept: 200 length whole 2, open, Content-Type=[text/plain]
	stream-1.0: 200 length whole 2 closing, closed, Content-Type=[text/plain]
	stream-1.0-kept: 200 length whole 2, open, Content-Type=[text/plain]
	head: 200 length whole 0, open, Content-Type=[text/plain]
	head-1.0: 200 length whole 0 closing, closed, Content-Type=[text/plain]
	reply-close: 200 length whole 2 closing, closed, Content-Type=[text/plain]
	stream-close: 200 chunked whole 2 closing, closed, Content-Type=[text/plain]
	unknown: 404 length whole 127, open, no-such-path Content-Type=[application/problem+json]
	unknown-1.0: 404 length whole 127 closing, closed, no-such-path Content-Type=[application/problem+json]
	unknown-head: 404 length whole 0, open, Content-Type=[application/problem+json]
	unknown-close: 404 length whole 127 closing, closed, no-such-path Content-Type=[application/problem+json]
	unwritable: 502 length whole 133, open, unwritable-head Content-Type=[application/problem+json]
	unwritable-close: 502 length whole 133 closing, closed, unwritable-head Content-Type=[application/problem+json]
	large: 413 length whole 129 closing, closed, body-too-large Content-Type=[application/problem+json]
	version: 505 length whole 133 closing, closed,
	twice: 200 length whole 2, open, content-type=[text/plain] Date=[Tue, 02 Jan 2024 00:00:00 GMT]
	noise: 0 none none 0, closed,
	chunks: 400 length whole 126 closing, closed,
	long: 414 length whole 143 closing, closed,
	EOF
	test_cmp expect actual
'

# Guards against callers that send their next request to a process that stops.
test_expect_success 'all say that their connection closes when the process stops' '
	kill -USR1 $(cat server.pid) &&
	wait_until 5 sh -c "curl -si http://$SERVER/reply | grep Connection:" &&
	ask <cases >actual &&
	cat >expect <<-EOF &&
	reply: 200 length whole 2 closing, closed, Content-Type=[text/plain]
	stream: 200 chunked whole 2 closing, closed, Content-Type=[text/plain]
	reply-1.0: 200 length whole 2 closing, closed, Content-Type=[text/plain]
	reply-1.0-kept: 200 length whole 2 closing, closed, Content-Type=[text/plain]
	stream-1.0: 200 length whole 2 closing, closed, Content-Type=[text/plain]
	stream-1.0-kept: 200 length whole 2 closing, closed, Content-Type=[text/plain]
	head: 200 length whole 0 closing, closed, Content-Type=[text/plain]
	head-1.0: 200 length whole 0 closing, closed, Content-Type=[text/plain]
	reply-close: 200 length whole 2 closing, closed, Content-Type=[text/plain]
	stream-close: 200 chunked whole 2 closing, closed, Content-Type=[text/plain]
	unknown: 404 length whole 127 closing, closed, no-such-path Content-Type=[application/problem+json]
	unknown-1.0: 404 length whole 127 closing, closed, no-such-path Content-Type=[application/problem+json]
	unknown-head: 404 length whole 0 closing, closed, Content-Type=[application/problem+json]
	unknown-close: 404 length whole 127 closing, closed, no-such-path Content-Type=[application/problem+json]
	unwritable: 502 length whole 133 closing, closed, unwritable-head Content-Type=[application/problem+json]
	unwritable-close: 502 length whole 133 closing, closed, unwritable-head Content-Type=[application/problem+json]
	large: 413 length whole 129 closing, closed, body-too-large Content-Type=[application/problem+json]
	version: 505 length whole 133 closing, closed,
	twice: 200 length whole 2 closing, closed, content-type=[text/plain] Date=[Tue, 02 Jan 2024 00:00:00 GMT]
	noise: 0 none none 0, closed,
	chunks: 400 length whole 126 closing, closed,
	long: 414 length whole 143 closing, closed,
	EOF
	test_cmp expect actual
'

# Guards against pages of the library whose body begins with a second head.
test_expect_success 'the answer to a bad length or to many cookies has one head' '
	ask >actual <<-EOF &&
	length "raw=POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n"
	huge "raw=POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n"
	cookies "ask=Cookie:$(printf "a=b; %.0s" $(seq 600))" path=/reply
	EOF
	cut -c 1-200 actual &&
	! grep -A1 "bytes after the answer" actual
'

test_done
