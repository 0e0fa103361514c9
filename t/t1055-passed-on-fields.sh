#!/bin/sh

test_description='the fields of an answer reach the caller as the upstream wrote them'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

UPSTREAM=$TEST_NET.2:80

# passed_on [PID] <CASES
passed_on () {
	timeout 60 python3 "$TEST_DIR/helper/passed-on.py" $ENTRY $UPSTREAM "$@"
}

is_served () {
	echo "probe" | passed_on | grep ": 200"
}

start_store
put_config 1 16384 $(web_route plain idempotent 1 3000)
put_server i-1 2
start_entry 1
wait_ready 1
wait_until 10 is_served

# Guards against fields that the library refuses and nobody misses (issue 59).
test_expect_success 'fields without a value are passed on' '
	passed_on >actual <<-\EOF &&
	empty field=X-Empty: field=X-After:a
	blank "field=X-Empty: " "field=X-After:\\t a \\t"
	chunked framing=chunked field=X-Empty: field=X-Void:
	EOF
	sed "s/ Date=\[now\]//" actual >fields &&
	cat >expect <<-\EOF &&
	empty: 200 length whole 2, open, X-Limpetflow-Response-Stamp=[stamp] X-Empty=[] X-After=[a] Content-Length=[2]
	blank: 200 length whole 2, open, X-Limpetflow-Response-Stamp=[stamp] X-Empty=[] X-After=[a] Content-Length=[2]
	chunked: 200 chunked whole 2, open, X-Limpetflow-Response-Stamp=[stamp] X-Empty=[] X-Void=[]
	EOF
	test_cmp expect fields
'

# Guards against the time of this process in place of that of the answer, which a
# cache reckons with.
test_expect_success 'the Date of an upstream is passed on, and once' '
	date="Mon, 01 Jan 2024 00:00:00 GMT" &&
	passed_on >actual <<-EOF &&
	one "field=date: $date"
	two "field=Date: $date" "field=Date: Tue, 02 Jan 2024 00:00:00 GMT"
	chunks framing=chunked "field=Date: $date"
	closed framing=close "field=Date: $date"
	void field=Date:
	none
	EOF
	sed "s/ X-Limpetflow-Response-Stamp=.stamp.//;
		s/ Content-Length=.2.//" actual >fields &&
	cat >expect <<-EOF &&
	one: 200 length whole 2, open, date=[$date]
	two: 200 length whole 2, open, Date=[$date]
	chunks: 200 chunked whole 2, open, Date=[$date]
	closed: 200 chunked whole 2, open, Date=[$date]
	void: 200 length whole 2, open, Date=[now]
	none: 200 length whole 2, open, Date=[now]
	EOF
	test_cmp expect fields
'

# Guards against a field of one connection that reaches the next one.
test_expect_success 'fields that Connection names are not passed on' '
	passed_on >actual <<-\EOF &&
	before field=X-Hop:1 "field=Connection: keep-alive, x-hop" field=X-Hop-2:2
	after "field=Connection: X-Hop" "field=Connection: x-other" field=X-Hop:1 field=X-Other:2 field=X-Hop-2:3
	chunks framing=chunked "field=Connection: x-hop" field=X-Hop:1
	EOF
	sed "s/ X-Limpetflow-Response-Stamp=.stamp.//; s/ Date=.now.//;
		s/ Content-Length=.2.//" actual >fields &&
	cat >expect <<-EOF &&
	before: 200 length whole 2, open, X-Hop-2=[2]
	after: 200 length whole 2, open, X-Hop-2=[3]
	chunks: 200 chunked whole 2, open,
	EOF
	test_cmp expect fields
'

# Guards against two types, of which readers take either. Streams go by the last one.
test_expect_success 'of two types, the last one is passed on' '
	echo "types field=Content-Type:text/html field=content-type:text/plain" |
		passed_on >actual &&
	grep "Content-Type=.text/plain. " actual &&
	! grep "field twice" actual
'

# Guards against an answer with its stamp that lacks one of its fields.
test_expect_success 'an answer with a field that has no valid name is a failure' '
	echo "name \"field=X Bad:1\"" | passed_on >actual &&
	cat actual &&
	grep "^name: 502 length whole .*, open, " actual &&
	! grep Stamp actual
'

# Guards against a Date, or a framing field, that the library adds once more
# (issue 59). The last case, as the entry is gone then.
test_expect_success 'all of this holds after SIGTERM' '
	date="Mon, 01 Jan 2024 00:00:00 GMT" &&
	passed_on $(cat e1.pid) >actual <<-EOF &&
	length "field=Date: $date" field=X-Empty:
	chunks framing=chunked "field=Date: $date" field=X-Empty:
	closed framing=close "field=Date: $date"
	events framing=events "field=Date: $date"
	undated framing=chunked
	closing framing=chunked "field=Date: $date" ask=Connection:close
	held version=1.0 framing=chunked "field=Date: $date"
	kept version=1.0 framing=chunked "field=Date: $date" ask=Connection:keep-alive
	option framing=chunked "field=Connection: x-hop" field=X-Hop:1
	name "field=X Bad:1"
	error status=500 "field=Date: $date"
	EOF
	sed "s/ X-Limpetflow-Response-Stamp=.stamp.//; s/ Content-Length=[^ ]*//;
		s/ Content-Type=.text.event-stream.//" actual >fields &&
	grep -v "^name: " fields >served &&
	cat >expect <<-EOF &&
	length: 200 length whole 2 closing, closed, Date=[$date] X-Empty=[]
	chunks: 200 chunked whole 2 closing, closed, Date=[$date] X-Empty=[]
	closed: 200 chunked whole 2 closing, closed, Date=[$date]
	events: 200 chunked whole 16 closing, closed, Date=[$date]
	undated: 200 chunked whole 2 closing, closed, Date=[now]
	closing: 200 chunked whole 2 closing, closed, Date=[$date]
	held: 200 length whole 2 closing, closed, Date=[$date]
	kept: 200 length whole 2 closing, closed, Date=[$date]
	option: 200 chunked whole 2 closing, closed, Date=[now]
	error: 500 length whole 2 closing, closed, Date=[$date]
	EOF
	test_cmp expect served &&
	grep "^name: 502 length whole .* closing, closed, " fields
'

test_done
