#!/bin/sh

test_description='several entries divide an account budget over the network'
. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"

NET=$(fleet_net 1)

limits_of () {
	curl -s -m 2 "http://$NET.$1:7102/status" | jq -c .limits
}

# limits_are ENTRY JQ-CONDITION: the condition holds for the entry's limits.
limits_are () {
	limits_of $1 | jq -e "$2" >/dev/null
}

rates_sum () {
	for e; do
		limits_of $e | jq .accounts.adubo.requests_per_second
	done | jq -s add
}

# rates_within LOW HIGH ENTRY...: the sum of the entries' slices is in bounds.
rates_within () {
	within_low=$1
	within_high=$2
	shift 2
	rates_sum "$@" | jq -e ". >= $within_low and . <= $within_high" >/dev/null
}

cat >document.json <<-\EOF_DOCUMENT
	{"revision":1,"accounts":[{"account":"adubo","limits":
	 {"requests_per_second":80,"cut_off_share":0.1}}]}
EOF_DOCUMENT
fleet_platform_start
fleet_publish_config document.json
for i in 1 2 3; do
	entry_start e-$i dc1 $NET.10$i
done
fleet_publish_instances

test_expect_success 'three entries divide the budget of an account' '
	for i in 101 102 103; do
		wait_until 20 limits_are $i ".in_contact == 3 and (.cut_off | not)"
	done &&
	wait_until 5 rates_within 79.9 80.1 101 102 103
'

test_expect_success 'the slice of a stopped entry goes to the others' '
	kill -STOP $(cat e-3.pid) &&
	wait_until 5 limits_are 101 ".in_contact == 2" &&
	wait_until 5 rates_within 79.9 80.1 101 102
'

test_expect_success 'a resumed entry gets its slice back' '
	kill -CONT $(cat e-3.pid) &&
	for i in 101 102 103; do
		wait_until 10 limits_are $i ".in_contact == 3 and (.cut_off | not)"
	done &&
	wait_until 5 rates_within 79.9 80.1 101 102 103
'

test_expect_success 'a partitioned entry keeps to the cut-off share' '
	curl -s -f -o /dev/null -X POST -d "[\"$NET.101\",\"$NET.102\"]" \
		http://$NET.103:7102/cut &&
	wait_until 5 limits_are 103 \
		".cut_off and .accounts.adubo.requests_per_second <= 8.001" &&
	wait_until 5 rates_within 79.9 88.1 101 102 103
'

test_expect_success 'a revision changes the limit at all reachable entries' '
	sed "s/\"revision\":1/\"revision\":2/; s/:80/:40/" document.json >second &&
	fleet_publish_config second &&
	wait_until 10 rates_within 39.9 40.1 101 102
'

test_done
