#!/bin/sh
# Measures one budget shared by 8 real entries: 10 accounts with equal shares,
# of which 2 offer 10 times theirs.  Prints one JSON line: worst_share_error
# (relative to the fair share over 10 s), small_p99_ratio (to the same account
# alone), over_admission (relative to the budget, while entries are partitioned
# from each other), over_admission_bound (the limit of that), converge_seconds
# (until the slices settle after an entry died or after it restarted, the
# longer of the two).

test_description='limits'
. "$(dirname "$0")/../test-lib.sh"
ENGINE_OPTIONS="--fencing --slots 64 --token-ms 4"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/calls-lib.sh"
ENTRY_COUNT=8
UPSTREAMS=4
BUDGET=${BUDGET:-200}  # calls per second
SMALL_RATE=${SMALL_RATE:-15}
ALONE_SECONDS=${ALONE_SECONDS:-8}
LARGE="a1 a2"
SMALL="a3 a4 a5 a6 a7 a8 a9 a10"

fail () {
	echo "p0004: $*" >&2
	exit 1
}

entry_address () {
	echo "$CALLS_NET.$((100 + $1))"
}

limits_document () {
	accounts=
	for a in $LARGE $SMALL; do
		accounts="$accounts${accounts:+,}{\"account\":\"$a\",\"share\":1,
			\"keys\":[\"$(key_digest key-$a)\"]"
		test $a = a1 && accounts="$accounts,\"models\":[{\"name\":
			\"quotes\",\"manifest\":\"$digest\",\"upstreams\":[\"m-*\"]}]"
		accounts="$accounts}"
	done
	echo "{\"revision\":1,\"fleet\":{\"fencing\":[\"m-*\"],\"budget\":
		{\"requests_per_second\":$BUDGET,\"cut_off_share\":0.1}},
		\"accounts\":[$accounts]}" >document.json
	fleet_publish_config document.json
}

# load ACCOUNT RATE SECONDS NAME ENTRY...: sends calls of one account and
# writes the history to NAME.history.
load () {
	load_account=$1
	load_rate=$2
	load_seconds=$3
	load_name=$4
	shift 4
	load_entries=
	for e; do
		load_entries="$load_entries --entry $(entry_address $e)"
	done
	caller --account $load_account=key-$load_account \
		--content "$digest=$content" $load_entries --rate $load_rate \
		--seconds $load_seconds --concurrency 400 --tokens 25 \
		--timeout-ms 10000 --seed $(echo $load_account | tr -d a) \
		--name $load_account --history $load_name.history \
		>$load_name.json || fail "$load_name: $(cat $load_name.json)"
}

# load_all SECONDS NAME ENTRY...: runs the load of all accounts in $active in
# parallel and sets $all_pids.
active="$LARGE $SMALL"
load_all () {
	all_seconds=$1
	all_name=$2
	shift 2
	all_pids=
	for a in $active; do
		rate=$SMALL_RATE
		case " $LARGE " in *" $a "*) rate=$BUDGET ;; esac
		load $a $rate $all_seconds $all_name-$a "$@" &
		all_pids="$all_pids $!"
	done
}

# entry_cut ENTRY [ENTRY...]: partitions an entry from others, or from none.
entry_cut () {
	cut_entry=$1
	shift
	cut_list=
	for e; do
		cut_list="$cut_list${cut_list:+,}\"$(entry_address $e)\""
	done
	curl -s -f -o /dev/null -X POST -d "[$cut_list]" \
		http://$(entry_address $cut_entry):7102/cut || fail "no /cut"
}

in_contact () {
	test "$(curl -s -m 2 http://$(entry_address $1):7102/status |
		jq .limits.in_contact)" = $2
}

models_start "$UPSTREAMS" || fail "no engines"
for i in $(seq $ENTRY_COUNT); do
	entry_start e-$i dc1 $(entry_address $i)
done
fleet_publish_instances
limits_document
for i in $(seq $ENTRY_COUNT); do
	wait_until 30 routes_are $(entry_address $i) $UPSTREAMS ||
		fail "no upstreams at entry $i"
	wait_until 10 in_contact $i $ENTRY_COUNT ||
		fail "entry $i is not in contact with the others"
done
every=$(seq $ENTRY_COUNT)

# Each small account alone, then all accounts together.
for a in $SMALL; do
	load $a $SMALL_RATE $ALONE_SECONDS alone-$a $every
done
load_all 15 together $every
wait $all_pids

# All entries partitioned from each other, then three from the other five.
for i in $every; do
	entry_cut $i $(seq $ENTRY_COUNT | grep -vx $i)
done
load_all 14 apart $every
wait $all_pids
for i in 1 2 3; do
	entry_cut $i 4 5 6 7 8
done
for i in 4 5 6 7 8; do
	entry_cut $i 1 2 3
done
load_all 14 parted $every
wait $all_pids
for i in $every; do
	entry_cut $i
done
for i in $every; do
	wait_until 10 in_contact $i $ENTRY_COUNT ||
		fail "entry $i is not in contact again"
done

# One entry is killed and restarted under load.  Only the large accounts send
# calls, so that the fair share of each is exactly half of the budget.
active=$LARGE
load_all 24 dying $every
sleep 6
python3 "$TEST_DIR/perf/limits.py" watch 8 $(for i in 1 2 3 4 5 6 7; do
	entry_address $i; done) >died.times &
watch=$!
sleep 0.5
kill -9 $(cat e-8.pid)
date +%s.%N >died.at
wait $watch
python3 "$TEST_DIR/perf/limits.py" watch 8 $(for i in $every; do
	entry_address $i; done) >came.times &
watch=$!
sleep 0.5
date +%s.%N >came.at
start e-8 limpet-entry --settings e-8.json
wait $watch
wait $all_pids

python3 "$TEST_DIR/perf/limits.py" report $BUDGET
