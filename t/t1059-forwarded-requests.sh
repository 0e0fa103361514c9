#!/bin/sh

test_description='requests as the upstream reads them, byte by byte

The HTTP libraries of an entry add, change or leave out what is not asked for.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

UPSTREAM=$TEST_NET.2:80

is_served () {
	test "$(get_status 1 /plain/plain-length key)" = 200
}

# test_requests NAME...: compares what the upstream reads of these requests with
# the standard input.
test_requests () {
	cat >expect &&
	python3 "$TEST_DIR/helper/forwarded-heads.py" $ENTRY $UPSTREAM "$@" \
		>actual &&
	diff -u expect actual
}

start_store
start upstream python3 "$TEST_DIR/standin/raw_server.py" $UPSTREAM
put_config 1 16384 $(web_route plain idempotent 1 20000)
put_server i-1 2
start_entry 1
wait_ready 1
wait_until 10 is_served


# Guards against fields of the library's own, and against values, names and
# repeated fields that are changed on the way.
test_expect_success 'fields arrive unchanged and once each' '
	test_requests plain values names repeated library <<-\EOF
	plain 200 612
	  GET /plain/plain-length HTTP/1.1
	  Host: a.example
	  body: .
	values 200 612
	  GET /plain/plain-length HTTP/1.1
	  Host: a.example
	  X-Blanks: a  b
	  X-Empty:
	  X-High: \xe9\xff
	  X-Quoted: "a;b",;c:
	  X-Tab: a\tb
	  body: .
	names 200 612
	  GET /plain/plain-length HTTP/1.1
	  !#$%&'"'"'*+-.^_`|~09az: 1
	  Host: a.example
	  X-UPPER-lower: 1
	  body: .
	repeated 200 612
	  GET /plain/plain-length HTTP/1.1
	  Cookie: a=b
	  Cookie: c=d
	  Host: a.example
	  (2) X-One: 1
	  X-Two: 2
	  x-one: 3
	  body: .
	library 200 612
	  GET /plain/plain-length HTTP/1.1
	  Accept-Encoding: identity
	  Accept: text/x
	  Host: a.example
	  User-Agent: u
	  body: .
	EOF
'

# Guards against a field of the caller that only its connection concerns, named in
# the second of two Connection fields.
test_expect_success 'fields named in any Connection are not passed on' '
	test_requests connections <<-\EOF
	connections 200 612
	  GET /plain/plain-length HTTP/1.1
	  Host: a.example
	  X-Three: 3
	  body: .
	EOF
'

# Guards against the type that libcurl gives each body.
test_expect_success 'bodies get no other type than that of the caller' '
	test_requests post post-type post-empty post-chunks put <<-\EOF
	post 200 612
	  POST /plain/plain-length HTTP/1.1
	  Content-Length: 3
	  Host: a.example
	  body: abc.
	post-type 200 612
	  POST /plain/plain-length HTTP/1.1
	  Content-Length: 3
	  Host: a.example
	  content-type: text/x
	  body: abc.
	post-empty 200 612
	  POST /plain/plain-length HTTP/1.1
	  Content-Length: 0
	  Host: a.example
	  body: .
	post-chunks 200 612
	  POST /plain/plain-length HTTP/1.1
	  Content-Length: 3
	  Host: a.example
	  body: abc.
	put 200 612
	  PUT /plain/plain-length HTTP/1.1
	  Content-Length: 3
	  Host: a.example
	  body: abc.
	EOF
'

# Guards against a GET that is run as a POST since it has a body.
test_expect_success 'methods arrive unchanged' '
	test_requests get-body delete options odd-method <<-\EOF
	get-body 200 612
	  GET /plain/plain-length HTTP/1.1
	  Content-Length: 3
	  Host: a.example
	  body: abc.
	delete 200 612
	  DELETE /plain/plain-length HTTP/1.1
	  Content-Length: 0
	  Host: a.example
	  body: .
	options 200 612
	  OPTIONS /plain/plain-length HTTP/1.1
	  Content-Length: 0
	  Host: a.example
	  body: .
	odd-method 200 612
	  X-ODD /plain/plain-length HTTP/1.1
	  Content-Length: 0
	  Host: a.example
	  body: .
	EOF
'

# Guards against a wait for the body of an answer to HEAD, which has none whatever
# its head says.
test_expect_success 'HEAD is answered without a body' '
	test_requests head-length head-chunked head-close head-again <<-\EOF
	head-length 200 0
	  HEAD /plain/plain-length HTTP/1.1
	  Host: a.example
	  body: .
	head-chunked 200 0
	  HEAD /plain/plain-chunked HTTP/1.1
	  Host: a.example
	  body: .
	head-close 200 0
	  HEAD /plain/plain-close HTTP/1.1
	  Host: a.example
	  body: .
	head-again 200 0
	  HEAD /plain/plain-length HTTP/1.1
	  Host: a.example
	  body: .
	EOF
'

test_done
