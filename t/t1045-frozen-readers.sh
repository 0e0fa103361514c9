#!/bin/sh

test_description='a change is read though the readers of the store stand still

Six entries of one data centre. A frozen reader asks nobody to read, and membership
takes 3 s and more to miss it: a change has to be in force on the others before that,
which is told by its place among the members.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/store-lib.sh"

ENTRIES="1 2 3 4 5 6"

# of_status ENTRY FIELD: a number of the configuration's status.
of_status () {
	curl -s -m 2 "http://$TEST_NET.$1:7702/status" | jq ".config.$2"
}

# have_members COUNT ENTRY...: these count so many members.
have_members () {
	members_count=$1
	shift
	for members_entry; do
		test "$(of_status $members_entry members)" = $members_count ||
			return 1
	done
}

# rank_entries: writes all entries to ranked, in the order in which they read.
rank_entries () {
	for entry in $ENTRIES; do
		echo "$(of_status $entry watch_rank) $entry"
	done | sort -n | awk "{ print \$2 }" >ranked &&
	head -2 ranked >readers && tail -4 ranked >others
}

# signal SIGNAL ENTRY...
signal () {
	signal_name=$1
	shift
	for signal_entry; do
		kill -$signal_name $(cat e$signal_entry.pid) || return 1
	done
}

# is_calm: all are members of each other, with one order of ranks, and two read.
is_calm () {
	have_members 6 $ENTRIES && rank_entries
}

# check_frozen VERSION FROZEN...: with these frozen, VERSION comes into force on
# the others before the frozen ones lose their places.
check_frozen () {
	frozen_version=$1
	shift
	running=
	for entry in $ENTRIES; do
		case " $* " in
		*" $entry "*) ;;
		*) running="$running $entry" ;;
		esac
	done
	frozen_result=0
	signal STOP $* &&
	put_keyed_config $frozen_version &&
	wait_until 10 is_in_force $frozen_version $((frozen_version - 1)) $running &&
	have_members 6 $running || frozen_result=1
	signal CONT $* &&
	wait_until 10 is_in_force $frozen_version $((frozen_version - 1)) $ENTRIES &&
	wait_until 20 is_calm && sleep 2 && return $frozen_result
}

start_store
start up python3 "$TEST_DIR/standin/metadata_store.py" upstream \
	$TEST_NET.20:80 i-1
put_server i-1 20
put_keyed_config 1
for entry in $ENTRIES; do
	start_entry $entry
done
wait_ready $ENTRIES
wait_until 10 is_in_force 1 0 $ENTRIES
wait_until 10 is_calm
sleep 2

# Guards against readers that nobody misses before membership does (review/9).
test_expect_success 'both readers are frozen' '
	check_frozen 2 $(cat readers)
'

# Guards against a reader that waits for its fellow.
test_expect_success 'one of two readers is frozen' '
	check_frozen 3 $(head -1 readers)
'

# Guards against substitutes of which all are frozen.
test_expect_success 'all entries but one are frozen' '
	check_frozen 4 $(head -5 ranked)
'

# Guards against substitutes that nobody watches in turn.
test_expect_success 'the substitutes are frozen as well, after they took over' '
	readers=$(cat readers) && first=$(head -3 others) &&
	signal STOP $readers && sleep 1.2 &&
	check_frozen 5 $readers $first
'

# Guards against a key that is in force while nobody reads.
test_expect_success 'the readers are killed, and a key is withdrawn' '
	readers=$(cat readers) && signal KILL $readers && put_keyed_config 6 &&
	wait_until 5 is_in_force 6 5 $(cat others) &&
	for entry in $readers; do
		start_entry $entry || return 1
	done &&
	wait_until 10 is_in_force 6 5 $ENTRIES
'

# Guards against processes that go on reading once the readers run again.
test_expect_success 'two processes read in the end' '
	wait_until 20 is_calm && sleep 3 &&
	for entry in $(cat others); do
		echo "$entry $(count_calls $entry)"
	done >before &&
	sleep 4 &&
	for entry in $(cat others); do
		echo "$entry $(count_calls $entry)"
	done >after &&
	test_cmp before after
'

test_done
