#!/bin/sh

test_description='requests that crash their upstreams, at several entries

Four entries in two data centres send to eight engines. Requests of several
kinds crash each engine that begins to answer them: those with one part in their
prompts, no two alike; one request that comes again; and some that have nothing
in common. Sound requests share account, route and other parts with them.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
PART=91bd3f07
TEXT=crash-text
HOSTS="1 2 3 4"
SEEDS="\"$TEST_NET.1:7700\",\"$TEST_NET.2:7700\",\"$TEST_NET.3:7700\",\"$TEST_NET.4:7700\""

entries=
engines=
for host in $HOSTS; do
	entries="$entries $TEST_NET.$host:8000"
done
for host in 11 12 13 14; do
	engines="$engines $TEST_NET.$host:80=d1 $TEST_NET.$((host + 10)):80=d2"
done

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

config () {
	cat <<-EOT | put op/config
	{"Version":1,"Routes":[
	 {"Name":"ask","Host":"a.example","Prefix":"/ask/","Kind":"streaming","TimeoutMs":4000,"SloMs":2000,"GapAimMs":400,"Service":"llm","Attempts":3,"Resumable":true}],
	 "Services":[{"Name":"llm","MaxConns":99,"Engine":{"Slots":16,"KvTokens":685000,"Stride":6,"Models":[{"Name":"m"}],"step_ms":7.4,"per_seq_ms":0.04,"context_per_k":0.02,"read_per_s":31900,"usual":{"prompt":300,"answer":80}}}],
	 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
	 "Tenants":[{"Name":"acme","ApiKeys":["k1"]}]}
	EOT
}

# entry_settings HOST ZONE
entry_settings () {
	cat <<-EOT
	{"instance":"e$1","data_center":"$2","address":"$TEST_NET.$1",
	 "ports":{"first":7700},
	 "listen":{"callers":"$TEST_NET.$1:8000","ready":"$TEST_NET.$1:8001"},
	 "platform":"store","platform_url":"http://$STORE",
	 "key":"0123456789abcdef","seeds":[$SEEDS],
	 "forward":{"stop_grace_s":8,"retry_ratio":0.2,"retry_window_s":10,
	  "retry_slack":100}}
	EOT
}

start_entries () {
	for host in $HOSTS; do
		zone=d1
		test $host -le 2 || zone=d2
		entry_settings $host $zone >entry$host.json
		start entry$host limpet-entry --settings entry$host.json
	done
}

crash_count () {
	grep -c '"crash"' engines.out
}

# refusal PART: prints status and reason of a request at entry 1.
refusal () {
	curl -s -m 5 -o body -w '%{http_code} ' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r-$1" -H "Authorization: Bearer k1" \
		-H "X-Limpetflow-Model: m" -H "X-Limpetflow-Deadline-Ms: 4000" \
		-H "X-Limpetflow-Prompt-Prefix: 5c1e07a2:100,$1:100,9:100" \
		-d x http://$TEST_NET.1:8000/ask/x
	jq -r .reason body
}

all_ready () {
	for host in $HOSTS; do
		curl -sf http://$TEST_NET.$host:8001/readyz || return 1
	done
}

all_engines_listed () {
	test $(grep -c '"up"' engines.out) -ge 8
}

# traffic KIND: sends it, and waits for its end.
traffic () {
	python3 "$TEST_DIR/helper/crash-traffic.py" send $1 3 22 $PART $TEXT \
		$entries >requests-$1
}

# judge KIND CRASHES
judge () {
	python3 "$TEST_DIR/helper/crash-traffic.py" judge requests-$1 \
		engines.out $2 >judged-$1
	cat judged-$1
}

holds () {
	jq -e "$2" judged-$1
}

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE

test_expect_success 'four entries serve eight engines' '
	wait_until 10 curl -sf http://$STORE/test/calls &&
	config && printf "{\"Model\":\"m\",\"Version\":1}" | put op/version/m &&
	start engines python3 "$TEST_DIR/standin/crash_engine.py" $STORE $PART \
		$TEXT $engines &&
	wait_until 10 all_engines_listed &&
	start_entries &&
	wait_until 10 all_ready &&
	sleep 2 &&
	traffic part && judge part 5 &&
	holds part ".crashes >= 3 and .begun_before > 0.9"
'

# Guards against requests with one part in their prompts that crash one engine
# after the other, as no entry knows what they share.
test_expect_success 'few requests with a crashing part reach engines after five crashes' '
	holds part ".late <= 3"
'

test_expect_success 'sound requests that share account, route and first part are served' '
	holds part ".sound_after >= 20 and .begun_after >= .begun_before / 2" &&
	holds part ".blamed_sound == 0"
'

test_expect_success 'requests with the part are refused as not run, with a delay and a reason' '
	holds part ".refused >= 20 and .odd_refusals == 0" &&
	request=$(jq -r "select(.reason == \"crashing-part\" and .status == 503) | .request" \
		requests-part | tail -n 1) &&
	cat entry?.out | limpetctl explain $request --log - >explained &&
	grep "reason=\"crashing-part\"" explained
'

# Guards against one request that crashes one engine after the other.
test_expect_success 'few repeats of a crashing request reach engines after three crashes' '
	traffic request && judge request 3 &&
	holds request ".crashes >= 3 and .late <= 3"
'

test_expect_success 'sound requests are served beside a crashing request' '
	holds request ".sound_after >= 20 and .begun_after >= .begun_before / 2" &&
	holds request ".blamed_sound == 0" &&
	holds request ".refused >= 20 and .odd_refusals == 0"
'

# Guards against a process that starts and has to learn by crashes.
test_expect_success 'a restarted entry refuses the part from the start' '
	kill -TERM $(cat entry1.pid) &&
	wait_until 15 sh -c "! kill -0 $(cat entry1.pid)" &&
	before=$(crash_count) &&
	start entry1 limpet-entry --settings entry1.json &&
	wait_until 10 curl -sf http://$TEST_NET.1:8001/readyz &&
	test "$(refusal $PART)" = "503 crashing-part" &&
	test "$(crash_count)" = "$before"
'

test_expect_success 'crashes of other causes do not blame what sound requests share' '
	traffic other && judge other 5 &&
	holds other ".crashes >= 5 and .blamed_sound == 0" &&
	holds other ".sound_after >= 20 and .begun_after >= .begun_before / 2"
'

test_done
