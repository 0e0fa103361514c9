#!/bin/sh

test_description='a document of many routes comes into force on every process

One data centre of ten processes; each new document is asked for by several
peers of the process that has it first.'

. "$(dirname "$0")/test-lib.sh"
. "$TEST_DIR/fleet-lib.sh"
. "$TEST_DIR/lib-control.sh"

NET=$(fleet_net 1)
ALL=
FLEET_SEEDS="\"$NET.11\",\"$NET.12\""

fleet_platform_start
for host in 11 12; do
	control_add e$host entry dc1 $NET.$host
	ALL="$ALL $NET.$host"
done
for host in 21 22 23 24 25 26 27 28; do
	control_add a$host agent dc1 $NET.$host
	ALL="$ALL $NET.$host"
done

# publish_routes REVISION COUNT: publishes a document with COUNT routes.
publish_routes () {
	jq -nc --argjson revision "$1" --argjson count "$2" '
		{revision: $revision, accounts: [], routes: [range($count) |
		 {name: "r-\(.)", host: "h\(. % 7).example",
		  prefix: "/p\(. * 7919 % 10007)/", kind: "idempotent",
		  timeout_ms: 6000, objective_ms: 400, attempts: 2,
		  services: [{service: "s"}]}]}' >document.json &&
	fleet_publish_config document.json
}

# counter ADDRESS NAME LABEL: prints the value of a counter, 0 if there is none.
counter () {
	curl -s "http://$1:7102/metrics" |
		awk -v name="$2" -v label="$3" '
			index($1, name) && index($1, label) { n = $2 }
			END { print n + 0 }'
}

test_expect_success 'every process applies documents of up to 4,200 routes' '
	fleet_publish_instances &&
	publish_routes 1 10 &&
	wait_until 6 revision_is 1 $ALL &&
	fleet_ready 6 $ALL &&
	for revision in 2 3 4; do
		publish_routes $revision $((revision * 1400 - 1400)) &&
		wait_until 20 revision_is $revision $ALL || exit 1
	done
'

# Guards against work that grows with the number of askers: a process that many
# ask at once used up its share of the processor, and all of them waited.
# One delta and one whole text for each of four documents and the list.
test_expect_success 'no process encodes a document for each asker anew' '
	sent=0 &&
	for a in $ALL; do
		sent=$((sent + $(counter $a config_texts_sent ""))) &&
		test $(counter $a config_texts_encoded delta) -le 5 &&
		test $(counter $a config_texts_encoded deflate) -le 10 ||
			{ echo "$a: $(counter $a config_texts_encoded delta) deltas"; exit 1; }
	done &&
	test $sent -ge 24
'

# histogram_count ADDRESS NAME LABEL: prints how many values were recorded.
histogram_count () {
	status $1 | jq ".metrics.$2.$3.count // 0"
}

# Guards against a text that is checked again for each source it arrives from.
# One check for each of four documents and the list.
test_expect_success 'no process checks a text twice' '
	for a in $ALL; do
		checked=$(histogram_count $a config_step_us check) &&
		test $checked -ge 4 && test $checked -le 5 ||
			{ echo "$a: $checked checks"; exit 1; }
	done
'

test_done
