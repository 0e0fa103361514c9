#!/bin/sh
# Measures how long after SIGTERM an entry exits while a stream that does not
# end is in flight.  Prints one JSON line; fails if it takes longer than the
# grace time, after which a platform sends SIGKILL.

. "$(dirname "$0")/../test-lib.sh"

GRACE_S=8
STORE=$TEST_NET.9:7001
ENTRY=$TEST_NET.1:8000
READY=$TEST_NET.1:8001
UPSTREAM=$TEST_NET.2:80

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

cat >entry.json <<EOF
{"instance":"e1","data_center":"d1","address":"$TEST_NET.1",
 "ports":{"first":7700},"listen":{"callers":"$ENTRY","ready":"$READY"},
 "platform":"store","platform_url":"http://$STORE",
 "key":"0123456789abcdef","seeds":["$TEST_NET.1:1"],
 "forward":{"stop_grace_s":$GRACE_S,"retry_ratio":0.2,"retry_window_s":10,
  "retry_slack":100}}
EOF

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start upstream python3 "$TEST_DIR/standin/metadata_store.py" upstream $UPSTREAM i-1 queue
wait_until 10 curl -sf http://$STORE/test/calls || exit 2
put op/config <<EOF
{"Version":1,"Routes":[
 {"Name":"tell","Host":"a.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":50000,"SloMs":500,"Service":"web","Attempts":1}],
 "Services":[{"Name":"web"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
EOF
put servers/i-1 <<EOF
{"Service":"web","Addr":"$UPSTREAM","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}
EOF
start entry limpet-entry --settings entry.json
wait_until 10 curl -sf http://$READY/readyz || exit 2
start stream curl -s -N -m 60 -o body -H "Host: a.example" \
	-H "X-Limpetflow-Request-Id: r1" \
	-H "X-Limpetflow-Deadline-Ms: 50000" http://$ENTRY/tell/begun
wait_until 10 grep "id: 1" body || exit 2
pid=$(cat entry.pid)
stop_from=$(date +%s%N)
kill -TERM $pid
# A zombie has exited; only the shell that started it may not have waited.
while grep -q '^State:.[^Z]' /proc/$pid/status 2>/dev/null; do
	sleep 0.01
done
stop_ms=$((($(date +%s%N) - stop_from) / 1000000))
printf '{"bench":"stop","grace_ms":%d,"stop_ms":%d}\n' \
	$((GRACE_S * 1000)) $stop_ms
test $stop_ms -le $((GRACE_S * 1000))
