#!/bin/sh

test_description='the history checker detects a violation of each invariant'

. "$(dirname "$0")/test-lib.sh"

check=$TOP/t/helper/history-check.py
expect=$TEST_DIR/expect/t0010
sha_a=$(printf a | sha256sum | cut -c1-64)
sha_b=$(printf b | sha256sum | cut -c1-64)

# Calls of both kinds without a violation: answered, refused, with an unknown
# outcome, retried, and a repeatable one that ran twice (p3).
cat >good.jsonl <<-EOT
{"id":"m1","kind":"model","outcome":"answer","status":200,"version":"v1","content":"$sha_a","tokens":3,"whole":true,"attempts":1}
{"id":"m2","kind":"model","outcome":"unknown","status":200,"version":"v1","content":"","tokens":1,"whole":false,"attempts":1}
{"id":"m3","kind":"model","outcome":"not-run","status":503,"version":"","content":"","tokens":0,"whole":false,"attempts":2,"earlier":[{"outcome":"error","status":0,"problem":"Couldn't connect to server"}]}
{"id":"p1","key":"k1","kind":"plain","outcome":"answer","status":200,"version":"","content":"","tokens":0,"whole":true,"attempts":1}
{"id":"p2","key":"k2","kind":"plain","outcome":"not-run","status":503,"version":"","content":"","tokens":0,"whole":false,"attempts":2,"earlier":[{"outcome":"unknown","status":504,"problem":""}]}
{"id":"p4","key":"k4","kind":"plain","outcome":"not-run","status":503,"scope":"key","version":"","content":"","tokens":0,"whole":false,"attempts":2,"earlier":[{"outcome":"unknown","status":504}]}
{"id":"p3","key":"k3","repeatable":true,"kind":"plain","outcome":"answer","status":200,"version":"","content":"","tokens":0,"whole":true,"attempts":1}
EOT
cat >engine.json <<-\EOT
{"runs":{"m1":1,"m2":1}}
EOT
cat >plain.json <<-\EOT
{"runs":{"k1":1,"k2":1,"k3":2},"requests":{"p1":1,"p2":1,"p3":2}}
EOT

# check_output NAME STATUS HISTORY ENGINE-RUNS PLAIN-RUNS: compares the output
# of the checker with the expected one, and its exit status with STATUS.
check_output () {
	check_status=0
	python3 "$check" --engine-runs "$4" --plain-runs "$5" "$3" \
		>"$1.actual" || check_status=$?
	test_cmp "$expect/$1.txt" "$1.actual" &&
	test "$check_status" = "$2"
}

# edit_call ID SED-COMMAND: creates bad.jsonl, which is good.jsonl with the
# line of one call edited.
edit_call () {
	sed "/\"id\":\"$1\"/$2" good.jsonl >bad.jsonl &&
	! cmp -s good.jsonl bad.jsonl
}

test_expect_success 'a history without violations passes' '
	check_output good 0 good.jsonl engine.json plain.json
'

test_expect_success 'an incomplete answer' '
	edit_call m1 "s/\"whole\":true/\"whole\":false,\"problem\":\"no end\"/" &&
	check_output not-whole 1 bad.jsonl engine.json plain.json
'

test_expect_success 'an answer with the ID of another request' '
	edit_call p1 "s/\"attempts\"/\"crossed\":true,&/" &&
	check_output crossed 1 bad.jsonl engine.json plain.json
'

test_expect_success 'a truncated answer with tokens of two versions' '
	edit_call m2 "s/\"attempts\"/\"mixed\":true,&/" &&
	check_output mixed 1 bad.jsonl engine.json plain.json
'

test_expect_success 'one version with two content digests' '
	edit_call m2 "s/\"content\":\"\"/\"content\":\"$sha_b\"/" &&
	check_output two-contents 1 bad.jsonl engine.json plain.json
'

test_expect_success 'a reply without outcome' '
	edit_call m3 "s/\"not-run\"/\"error\"/" &&
	check_output no-outcome 1 bad.jsonl engine.json plain.json
'

test_expect_success 'a refused model call that ran' '
	echo "{\"runs\":{\"m1\":1,\"m2\":1,\"m3\":1}}" >ran.json &&
	check_output model-ran 1 good.jsonl ran.json plain.json
'

test_expect_success 'a refused plain call that ran' '
	edit_call p2 "s/\"outcome\":\"unknown\"/\"outcome\":\"not-run\"/" &&
	check_output plain-ran 1 bad.jsonl engine.json plain.json
'

test_expect_success 'a call that ran although it was refused with scope "key"' '
	sed "s/\"p1\":1/&,\"p4\":1/" plain.json >key-ran.json &&
	check_output key-ran 1 good.jsonl engine.json key-ran.json
'

test_expect_success 'an earlier attempt got the answer to another request' '
	edit_call p2 "s/\"status\":504/&,\"crossed\":true/" &&
	check_output crossed-before 1 bad.jsonl engine.json plain.json
'

test_expect_success 'a call that ran twice under two keys' '
	sed "s/\"p1\":1/\"p1\":2/" plain.json >two-keys.json &&
	check_output two-keys 1 good.jsonl engine.json two-keys.json
'

test_expect_success 'an answer to a call that never ran' '
	echo "{\"runs\":{\"m2\":1}}" >none.json &&
	check_output never-ran 1 good.jsonl none.json plain.json
'

test_expect_success 'a key that ran twice' '
	sed "s/\"k1\":1/\"k1\":2/" plain.json >twice.json &&
	check_output twice 1 good.jsonl engine.json twice.json
'

test_expect_success 'a key that ran once at each of two services' '
	echo "{\"runs\":{\"k1\":1},\"requests\":{\"p1\":1}}" >other.json &&
	check_status=0 &&
	{ python3 "$check" --plain-runs plain.json --plain-runs other.json \
		good.jsonl >actual || check_status=$?; } &&
	test $check_status = 1 &&
	grep "violation: a key runs at most once: k1: ran 2 times" actual
'

test_expect_success 'a key that ran twice and is in no history' '
	sed "s/\"k1\":1/&,\"k9\":2/" plain.json >stray.json &&
	check_output stray 1 good.jsonl engine.json stray.json
'

test_expect_success 'invalid input fails with status 2' '
	: >empty.jsonl &&
	head -c 700 good.jsonl >truncated.jsonl &&
	sed "s/\"not-run\"/\"done\"/" good.jsonl >bad-outcome.jsonl &&
	for history in empty.jsonl truncated.jsonl bad-outcome.jsonl \
		absent.jsonl
	do
		check_status=0
		python3 "$check" --engine-runs engine.json \
			--plain-runs plain.json $history || check_status=$?
		test $check_status = 2 || return 1
	done &&
	echo "{}" >no-runs.json &&
	check_status=0 &&
	{ python3 "$check" --plain-runs no-runs.json good.jsonl ||
	  check_status=$?; } &&
	test $check_status = 2
'

test_done
