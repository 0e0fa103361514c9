#!/bin/sh

test_description='the history checker finds every kind of broken promise'

. "$(dirname "$0")/test-lib.sh"

check=$TOP/t/helper/history-check.py
expect=$TEST_DIR/expect/t0010
sha_a=$(printf a | sha256sum | cut -c1-64)
sha_b=$(printf b | sha256sum | cut -c1-64)

# Calls of both kinds that hold every promise: answered, refused, with an
# unknown end, repeated, and one that may run more than once (p3).
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

# judge NAME STATUS HISTORY ENGINE-RUNS PLAIN-RUNS: compares the rows that the
# checker prints with the expected ones, and its exit status.
judge () {
	judged=0
	python3 "$check" --engine-runs "$4" --plain-runs "$5" "$3" \
		>"$1.actual" || judged=$?
	test_cmp "$expect/$1.txt" "$1.actual" &&
	test "$judged" = "$2"
}

# with ID EDIT: the good history with the line of one call changed.
with () {
	sed "/\"id\":\"$1\"/$2" good.jsonl >bad.jsonl &&
	! cmp -s good.jsonl bad.jsonl
}

test_expect_success 'a history that holds every promise passes' '
	judge good 0 good.jsonl engine.json plain.json
'

test_expect_success 'an answer that is not whole' '
	with m1 "s/\"whole\":true/\"whole\":false,\"problem\":\"no end\"/" &&
	judge not-whole 1 bad.jsonl engine.json plain.json
'

test_expect_success 'an answer to the request of another' '
	with p1 "s/\"attempts\"/\"crossed\":true,&/" &&
	judge crossed 1 bad.jsonl engine.json plain.json
'

test_expect_success 'a cut answer that had tokens of another version' '
	with m2 "s/\"attempts\"/\"mixed\":true,&/" &&
	judge mixed 1 bad.jsonl engine.json plain.json
'

test_expect_success 'one version with two contents' '
	with m2 "s/\"content\":\"\"/\"content\":\"$sha_b\"/" &&
	judge two-contents 1 bad.jsonl engine.json plain.json
'

test_expect_success 'a reply that states no outcome' '
	with m3 "s/\"not-run\"/\"error\"/" &&
	judge no-outcome 1 bad.jsonl engine.json plain.json
'

test_expect_success 'a refused model call that ran' '
	echo "{\"runs\":{\"m1\":1,\"m2\":1,\"m3\":1}}" >ran.json &&
	judge model-ran 1 good.jsonl ran.json plain.json
'

test_expect_success 'a refused plain call that ran' '
	with p2 "s/\"outcome\":\"unknown\"/\"outcome\":\"not-run\"/" &&
	judge plain-ran 1 bad.jsonl engine.json plain.json
'

test_expect_success 'a call that ran though its last refusal spoke for all' '
	sed "s/\"p1\":1/&,\"p4\":1/" plain.json >spoke.json &&
	judge key-ran 1 good.jsonl engine.json spoke.json
'

test_expect_success 'an earlier attempt got the answer of another' '
	with p2 "s/\"status\":504/&,\"crossed\":true/" &&
	judge crossed-before 1 bad.jsonl engine.json plain.json
'

test_expect_success 'a call that ran twice under two keys' '
	sed "s/\"p1\":1/\"p1\":2/" plain.json >two-keys.json &&
	judge two-keys 1 good.jsonl engine.json two-keys.json
'

test_expect_success 'an answer to a call that never ran' '
	echo "{\"runs\":{\"m2\":1}}" >none.json &&
	judge never-ran 1 good.jsonl none.json plain.json
'

test_expect_success 'a key that ran twice' '
	sed "s/\"k1\":1/\"k1\":2/" plain.json >twice.json &&
	judge twice 1 good.jsonl engine.json twice.json
'

test_expect_success 'a key that ran once at each of two services' '
	echo "{\"runs\":{\"k1\":1},\"requests\":{\"p1\":1}}" >other.json &&
	test_status=0 &&
	{ python3 "$check" --plain-runs plain.json --plain-runs other.json \
		good.jsonl >rows || test_status=$?; } &&
	test $test_status = 1 &&
	grep "violation: a key runs at most once: k1: ran 2 times" rows
'

test_expect_success 'a key that ran twice and that no caller knows' '
	sed "s/\"k1\":1/&,\"k9\":2/" plain.json >stray.json &&
	judge stray 1 good.jsonl engine.json stray.json
'

test_expect_success 'what cannot be judged does not pass' '
	: >empty.jsonl &&
	head -c 700 good.jsonl >cut.jsonl &&
	sed "s/\"not-run\"/\"done\"/" good.jsonl >strange.jsonl &&
	for history in empty.jsonl cut.jsonl strange.jsonl absent.jsonl
	do
		judged=0
		python3 "$check" --engine-runs engine.json \
			--plain-runs plain.json $history || judged=$?
		test $judged = 2 || return 1
	done &&
	echo "{}" >no-runs.json &&
	judged=0 &&
	{ python3 "$check" --plain-runs no-runs.json good.jsonl ||
	  judged=$?; } &&
	test $judged = 2
'

test_done
