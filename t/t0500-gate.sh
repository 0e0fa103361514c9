#!/bin/sh

test_description='decisions of the gate and of the home of a key'
. "$(dirname "$0")/test-lib.sh"

# decides: runs the script in "script", compares with "expect".
decides () {
	test-calls-gate <script >actual && test_cmp expect actual
}

test_expect_success 'a ticket runs once: joined, replayed, never again' '
	cat >script <<-EOF &&
	wall 50
	ask a
	ask a
	answer a yes
	ask a
	ask b
	lose b
	ask b
	EOF
	cat >expect <<-EOF &&
	a: run
	a: join
	a: replay yes
	b: run
	b: unknown answer-lost
	EOF
	decides
'

test_expect_success 'not-run marks: a copy that comes late does not run' '
	cat >script <<-EOF &&
	wall 50
	ask a may_run=0
	ask a
	ask a generation=1
	mark a
	ask a generation=1
	ask a generation=2 may_run=0
	ask a generation=2
	ask a generation=3
	EOF
	cat >expect <<-EOF &&
	a: not-run marked generation 0
	a: not-run marked generation 0
	a: run
	a: not-run marked generation 1
	a: not-run marked generation 2
	a: not-run marked generation 2
	a: run
	EOF
	decides
'

test_expect_success 'another boot, another request, an expired ticket' '
	cat >script <<-EOF &&
	wall 50
	ask a boot=2
	ask b content=1
	ask b content=2
	wall 101
	ask c
	wall 50
	ask c
	EOF
	cat >expect <<-EOF &&
	a: unknown agent-reborn
	b: run
	b: mismatch key-reused
	c: not-run ticket-expired generation 0
	c: not-run marked generation 0
	EOF
	decides
'

test_expect_success 'a row that left is not taken for new' '
	cat >script <<-EOF &&
	wall 50
	rows 2 1000
	ask a expiry=100
	answer a yes
	ask b expiry=110
	answer b yes
	ask c expiry=120
	ask a expiry=100
	ask d expiry=90
	answer c yes
	wall 400
	sweep
	ask b expiry=110
	ask c expiry=120
	ask e expiry=500
	EOF
	cat >expect <<-EOF &&
	a: run
	b: run
	c: run
	a: unknown ticket-too-old
	d: unknown ticket-too-old
	b: unknown ticket-too-old
	c: unknown ticket-too-old
	e: run
	EOF
	decides
'

test_expect_success 'full of running calls: refused, and marked by the bound' '
	cat >script <<-EOF &&
	wall 50
	rows 1 1000
	ask a expiry=100
	ask b expiry=110
	ask b expiry=110
	ask b expiry=130 generation=1
	answer a yes
	ask b expiry=130 generation=1
	ask b expiry=140 generation=2
	EOF
	cat >expect <<-EOF &&
	a: run
	b: not-run gate-full generation 0
	b: unknown ticket-too-old
	b: not-run gate-full generation 1
	b: unknown ticket-too-old
	b: run
	EOF
	decides
'

test_expect_success 'an answer that no longer fits leaves "unknown"' '
	cat >script <<-EOF &&
	wall 50
	rows 9 6
	ask a
	answer a 12345
	ask a
	ask b
	answer b 12345
	ask a
	ask b
	EOF
	cat >expect <<-EOF &&
	a: run
	a: replay 12345
	b: run
	a: unknown answer-evicted
	b: replay 12345
	EOF
	decides
'

test_expect_success 'a key alone: only at home, within its lifetime once' '
	cat >script <<-EOF &&
	at 1000
	ask k key=1 ticket=0 home=0
	ask k key=1 ticket=0
	answer k yes
	at 9000
	ask k key=1 ticket=0
	at 11500
	sweep
	ask k key=1 ticket=0
	rows 1 1000
	at 20000
	ask x key=1 ticket=0
	answer x yes
	ask y key=1 ticket=0
	at 25000
	ask x key=1 ticket=0
	at 30001
	lose y
	ask x key=1 ticket=0
	EOF
	cat >expect <<-EOF &&
	k: no-home home-unsure
	k: run
	k: replay yes
	k: run
	x: run
	y: run
	x: no-home gate-was-full
	x: run
	EOF
	decides
'

# k1 has its home at a, and k2 at b while b is there.
test_expect_success 'the home is sure only with a long and whole view' '
	cat >script <<-EOF &&
	at 100000
	self a
	view a
	sure k1
	at 121000
	view a b
	sure k1
	sure k2
	at 122000
	view a b@11000
	sure k1
	at 123000
	view a
	sure k1
	sure k2
	at 144000
	view a
	sure k2
	view b
	sure k1
	EOF
	cat >expect <<-EOF &&
	k1: unsure
	k1: sure
	k2: unsure
	k1: unsure
	k1: sure
	k2: unsure
	k2: sure
	k1: unsure
	EOF
	decides
'

for seed in 1 2 3; do
	test_expect_success "no identity runs twice in a random run, seed $seed" '
		test-calls-gate '$seed'
	'
done

test_done
