#!/bin/sh

test_description='a change is read though the readers of the store are cut off from it

Six entries of one data centre, each with a relay of its own to the store. Two
of them read the store; nothing but their relays is touched.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

ENTRIES="1 2 3 4 5 6"

# find_readers: writes the entries that read the store to readers, the others to
# others.
find_readers () {
	for entry in $ENTRIES; do
		echo "$entry $(count_calls $entry)"
	done >before &&
	sleep 3 &&
	while read -r entry count; do
		echo "$(($(count_calls $entry) - count)) $entry"
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

start_store
start up python3 "$TEST_DIR/standin/metadata_store.py" upstream \
	$TEST_NET.20:80 i-1
put_server i-1 20
put_keyed_config 1
for entry in $ENTRIES; do
	start relay$entry tcp-relay $TEST_NET.9 701$entry 7001
	start_entry $entry "" "" $TEST_NET.9:701$entry
done
wait_ready $ENTRIES
wait_until 5 is_in_force 1 0 $ENTRIES
sleep 2

test_expect_success 'in calm, two processes read the store' '
	find_readers &&
	test $(wc -l <others) = 4 &&
	for entry in $(cat others); do
		before=$(awk "\$1 == $entry { print \$2 }" before) &&
		test $(count_calls $entry) = $before || exit 1
	done
'

# Guards against a change that nobody reads while its readers are alive.
test_expect_success 'the two readers get no answers' '
	cut STOP $(cat readers) &&
	sleep 0.3 &&
	put_keyed_config 2 &&
	wait_until 5 is_in_force 2 1 $ENTRIES
'

test_expect_success 'two more get none' '
	cut STOP $(head -2 others) &&
	put_keyed_config 3 &&
	wait_until 5 is_in_force 3 2 $ENTRIES
'

test_expect_success 'all read again, and the two others no longer' '
	cut CONT $(cat readers) $(head -2 others) &&
	put_keyed_config 4 &&
	wait_until 5 is_in_force 4 3 $ENTRIES &&
	sleep 4 &&
	find_readers &&
	test $(wc -l <others) = 4 &&
	for entry in $(cat others); do
		before=$(awk "\$1 == $entry { print \$2 }" before) &&
		test $(count_calls $entry) = $before || exit 1
	done
'

test_expect_success 'the two readers are refused' '
	cut KILL $(cat readers) &&
	sleep 0.3 &&
	put_keyed_config 5 &&
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
