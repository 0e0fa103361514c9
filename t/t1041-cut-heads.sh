#!/bin/sh

test_description='an answer that is cut at any byte of its head is no whole answer

The upstream closes after so many bytes of an answer, with heads of status 103
before it, or with lines after its last chunk. libcurl reports some of these as
complete.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
SERVER=$TEST_NET.4:80

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# fetch_all FRAMING: the end of each such answer that is cut, of the HTTP client
# of all readers (engines, the store, the origin, peers). Without the very last
# byte, a line feed, an answer in chunks has its last chunk and is whole.
fetch_all () {
	last=$(($(curl -s --raw -i "http://$SERVER/cut-$1" | wc -c) - 1)) &&
	case $1 in chunked|trailer) last=$((last - 1)) ;; esac &&
	for bytes in $(seq 0 $last); do
		echo "$bytes $(fetch-answer "http://$SERVER/cut-$1-$bytes" 1500 2>/dev/null)"
	done
}

cat >ask.py <<'EOC'
"""Asks for each cut answer of a framing; prints what a caller sees of those
that look whole and successful: ask.py ENTRY ROUTE FRAMING BYTES. Sound answers
in between keep the upstream from being ejected."""
import http.client
import sys

entry, route, framing, last = sys.argv[1:]


def ask(path, name):
    c = http.client.HTTPConnection(*entry.split(":"), timeout=8)
    try:
        c.request("GET", path, headers={
            "Host": "a.example", "X-Limpetflow-Deadline-Ms": "3000",
            "X-Limpetflow-Request-Id": name})
        answer = c.getresponse()
        return answer.status, len(answer.read())
    except (http.client.HTTPException, OSError):
        return 0, 0
    finally:
        c.close()


for size in range(int(last)):
    name = "%s-%s-%d" % (route, framing, size)
    status, length = ask("/%s/cut-%s-%d" % (route, framing, size), name)
    if 200 <= status < 300:
        print(name, status, length)
    for i in range(3):
        ask("/%s/plain-length" % route, "%s-sound-%d" % (name, i))
EOC

cat >entry.json <<EOC
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":8,"retry_ratio":10,"retry_window_s":10,
  "retry_slack":10000}}
EOC
start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start upstream python3 "$TEST_DIR/standin/raw_server.py" $SERVER
wait_until 10 curl -sf http://$STORE/test/calls
wait_until 10 curl -sf http://$SERVER/test/ended
put op/config <<EOC
{"Version":1,"Routes":[
 {"Name":"once","Host":"a.example","Prefix":"/once/","Kind":"non_idempotent","TimeoutMs":5000,"SloMs":1000,"Service":"web","Attempts":2},
 {"Name":"again","Host":"a.example","Prefix":"/again/","Kind":"idempotent","TimeoutMs":5000,"SloMs":1000,"Service":"web","Attempts":2},
 {"Name":"tell","Host":"a.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":5000,"SloMs":1000,"Service":"web","Attempts":2,"Resumable":true}],
 "Services":[{"Name":"web","MaxConns":90}]}
EOC
put servers/i-1 <<EOC
{"Service":"web","Addr":"$SERVER","Zone":"d1","Version":"v1","Slots":20,"State":"ready","ColdLeftMs":0,"Seq":1}
EOC
start entry limpet-entry --settings entry.json
wait_until 10 curl -sf http://$READY/readyz
wait_until 10 curl -sf -o /dev/null -H "Host: a.example" \
	-H "X-Limpetflow-Request-Id: first" http://$ENTRY/again/plain-length

# Guards against readers that take a cut head or trailer for a whole answer.
for framing in length chunked interim trailer; do
	test_expect_success "the client tells each cut answer, $framing" "
		fetch_all $framing >ends-$framing &&
		test \$(wc -l <ends-$framing) -ge 100 &&
		! grep whole ends-$framing &&
		test \$(grep -c ' corrupt ' ends-$framing) = \$(wc -l <ends-$framing)
	"
done

# Nothing but the connection marks the end of such a body.
test_expect_success 'the client tells each cut head, close' '
	fetch_all close >ends &&
	head=$(curl -s --raw -I http://$SERVER/cut-close | wc -c) &&
	test $head -ge 100 &&
	head -n $head ends >ends-close &&
	! grep whole ends-close
'

# Guards against a status 200 with an empty or short body, framed as whole.
for route in once again tell; do
	test_expect_success "no caller gets a cut answer as a whole one, $route" "
		for framing in length chunked interim trailer; do
			last=\$(wc -l <ends-\$framing) &&
			python3 ask.py $ENTRY $route \$framing \$last || exit 1
		done >whole-$route &&
		cat whole-$route &&
		test ! -s whole-$route &&
		sent=\$(cat ends-length ends-chunked ends-interim ends-trailer | wc -l) &&
		ran=\$(curl -s http://$SERVER/test/runs |
			jq \"[keys[] | select(test(\\\"^$route-[a-z]+-[0-9]+\$\\\"))] | length\") &&
		echo \"\$ran of \$sent ran\" &&
		test \$((ran * 10)) -ge \$((sent * 9))
	"
done

test_done
