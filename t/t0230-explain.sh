#!/bin/sh

test_description='limpetctl explain reconstructs a request from log lines'

. "$(dirname "$0")/test-lib.sh"

cat >one.log <<EOF
{"time":"2026-01-01T10:00:00.100Z","severity":"notice","program":"limpet-entry","instance":"e1","step":"retry","peer":"u1","request":"r7","message":"attempt did not succeed; trying another upstream","silent":true}
{"time":"2026-01-01T10:00:00.900Z","severity":"warning","program":"limpet-entry","instance":"e1","step":"answer","peer":"u2","request":"r7","message":"request finished","outcome":"cut"}
{"time":"2026-01-01T10:00:00.500Z","severity":"info","program":"limpet-entry","instance":"e1","step":"answer","peer":"u1","request":"r8","message":"request finished","outcome":"answer"}
not a line of a log
EOF
cat >two.log <<EOF
   7.1 e2 {"time":"2026-01-01T10:00:00.050Z","severity":"warning","program":"limpet-entry","instance":"e2","step":"health","peer":"u1","message":"upstream ejected: silent, status 0, error: no bytes"}
   9.9 e2 {"time":"2026-01-01T10:30:00.050Z","severity":"warning","program":"limpet-entry","instance":"e2","step":"health","peer":"u1","message":"upstream ejected: silent, status 0, error: no bytes"}
   7.1 e2 {"time":"2026-01-01T10:00:00.060Z","severity":"warning","program":"limpet-entry","instance":"e2","step":"health","peer":"u9","message":"upstream ejected: silent, status 0, error: no bytes"}
EOF
cat >expect <<EOF
2026-01-01T10:00:00.050Z e2 health u1: upstream ejected: silent, status 0, error: no bytes
2026-01-01T10:00:00.100Z e1 retry u1: attempt did not succeed; trying another upstream silent=true
2026-01-01T10:00:00.900Z e1 answer u2: request finished outcome="cut"
EOF

test_expect_success 'lines of the request and about its upstreams, in order' '
	limpetctl explain r7 --log one.log --log two.log >actual &&
	test_cmp expect actual
'

test_expect_success 'log lines from standard input' '
	cat one.log two.log | limpetctl explain r7 --log - >actual &&
	test_cmp expect actual
'

test_expect_success '--json prints the lines unchanged' '
	limpetctl explain r7 --json --log one.log >actual &&
	test "$(jq -r .step actual | tr "\n" " ")" = "retry answer "
'

test_expect_success 'an unknown request id and a missing file are errors' '
	! limpetctl explain nobody --log one.log &&
	! limpetctl explain r7 --log none.log
'

test_done
