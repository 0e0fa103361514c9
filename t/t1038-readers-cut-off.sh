#!/bin/sh

test_description='a change is read though the readers of the store are cut off from it

Six entries of one data centre, each with a relay of its own to the store. Two
of them read the store; nothing but their relays is touched.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
ENTRIES="1 2 3 4 5 6"

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# config VERSION: has the route /added-VERSION/ and the key key-VERSION.
config () {
	cat <<-EOC | put op/config
	{"Version":$1,"Routes":[
	 {"Name":"added","Host":"a.example","Prefix":"/added-$1/","Kind":"idempotent","TimeoutMs":3000,"Service":"web"},
	 {"Name":"kept","Host":"a.example","Prefix":"/kept/","Kind":"idempotent","TimeoutMs":3000,"Service":"web"}],
	 "Services":[{"Name":"web"}],"Tenants":[{"Name":"acme","ApiKeys":["key-$1"]}]}
	EOC
}

# get_status ENTRY PATH KEY
get_status () {
	curl -s -m 5 -o /dev/null -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r" -H "Authorization: Bearer $3" \
		"http://$TEST_NET.$1:8000$2"
}

# is_in_force VERSION BEFORE ENTRY...: at these, VERSION is and BEFORE is not.
is_in_force () {
	force_version=$1
	force_before=$2
	shift 2
	for force_entry; do
		test "$(get_status $force_entry /added-$force_version/x \
			key-$force_version)" = 200 &&
		test "$(get_status $force_entry /kept/x \
			key-$force_before)" = 401 || return 1
	done
}

entry_settings () {
	cat <<-EOC
	{"instance":"e$1","data_center":"d1","address":"$TEST_NET.$1",
	 "ports":{"first":7700},"listen":{"callers":"$TEST_NET.$1:8000",
	 "ready":"$TEST_NET.$1:8001"},"platform":"store",
	 "platform_url":"http://$TEST_NET.9:701$1","key":"0123456789abcdef",
	 "seeds":["$TEST_NET.1:1","$TEST_NET.2:1","$TEST_NET.3:1"],
	 "forward":{"stop_grace_s":8,"retry_ratio":0.2,"retry_window_s":10,
	  "retry_slack":100}}
	EOC
}

# reads ENTRY: prints how often it has called the store.
reads () {
	curl -s "http://$TEST_NET.$1:7702/metrics" |
		awk '/platform_calls/ { n += $2 } END { print n + 0 }'
}

# find_readers: writes the entries that read the store to readers, the others to
# others.
find_readers () {
	for entry in $ENTRIES; do
		echo "$entry $(reads $entry)"
	done >before &&
	sleep 3 &&
	while read -r entry count; do
		echo "$(($(reads $entry) - count)) $entry"
	done <before | sort -n | awk '{ print $2 }' >order &&
	head -4 order >others &&
	tail -2 order >readers
}

# cut SIGNAL ENTRY...: a stopped relay is silent, a killed one refuses.
cut () {
	cut_signal=$1
	shift
	for cut_entry; do
		kill -$cut_signal $(cat relay$cut_entry.pid) || return 1
	done
}

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start up python3 "$TEST_DIR/standin/metadata_store.py" upstream \
	$TEST_NET.20:80 i-1
wait_until 10 curl -sf http://$STORE/test/calls
printf '{"Service":"web","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}' \
	"$TEST_NET.20:80" | put servers/i-1
config 1
for entry in $ENTRIES; do
	start relay$entry tcp-relay $TEST_NET.9 701$entry 7001
	entry_settings $entry >e$entry.json
	start e$entry limpet-entry --settings e$entry.json
done
for entry in $ENTRIES; do
	wait_until 10 curl -sf http://$TEST_NET.$entry:8001/readyz
done
wait_until 5 is_in_force 1 0 $ENTRIES
sleep 2

test_expect_success 'in calm, two processes read the store' '
	find_readers &&
	test $(wc -l <others) = 4 &&
	for entry in $(cat others); do
		before=$(awk "\$1 == $entry { print \$2 }" before) &&
		test $(reads $entry) = $before || exit 1
	done
'

# Guards against a change that nobody reads while its readers are alive.
test_expect_success 'the two readers get no answers' '
	cut STOP $(cat readers) &&
	sleep 0.3 &&
	config 2 &&
	wait_until 5 is_in_force 2 1 $ENTRIES
'

test_expect_success 'two more get none' '
	cut STOP $(head -2 others) &&
	config 3 &&
	wait_until 5 is_in_force 3 2 $ENTRIES
'

test_expect_success 'all read again, and the two others no longer' '
	cut CONT $(cat readers) $(head -2 others) &&
	config 4 &&
	wait_until 5 is_in_force 4 3 $ENTRIES &&
	sleep 4 &&
	find_readers &&
	test $(wc -l <others) = 4 &&
	for entry in $(cat others); do
		before=$(awk "\$1 == $entry { print \$2 }" before) &&
		test $(reads $entry) = $before || exit 1
	done
'

test_expect_success 'the two readers are refused' '
	cut KILL $(cat readers) &&
	sleep 0.3 &&
	config 5 &&
	wait_until 5 is_in_force 5 4 $ENTRIES
'

# Guards against calls that grow with the number of processes.
test_expect_success 'while the store is down for all, few call it' '
	curl -sf -X POST --data "{\"down\":true}" http://$STORE/test/mode &&
	sleep 3 &&
	calls=$(curl -sf http://$STORE/test/calls | jq .calls) &&
	sleep 4 &&
	calls=$(($(curl -sf http://$STORE/test/calls | jq .calls) - calls)) &&
	echo "$calls calls in 4 s" &&
	test $calls -le 60 &&
	curl -sf -X POST --data "{}" http://$STORE/test/mode
'

test_done
